#include "VmList.h"

#include <boost/json.hpp>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto readReplica (const json::value& value) -> std::optional<VmReplica>
{
    if (! value.is_object())
        return {};

    const auto& object = value.get_object();
    VmReplica replica { textIn (object, "name"), textIn (object, "service"), textIn (object, "endpoint") };
    const auto slots = numberIn (object, "slots", replica.slots);

    if (replica.name.empty() || replica.service.empty() || replica.endpoint.empty() || slots < 1.0)
        return {};

    replica.slots = static_cast<std::uint32_t> (slots);
    return replica;
}

auto readVm (const json::value& value, std::size_t& skipped) -> std::optional<Vm>
{
    if (! value.is_object())
        return {};

    const auto& object = value.get_object();
    Vm vm;
    vm.name = textIn (object, "name");
    vm.failureDomain = textIn (object, "failure_domain");
    vm.machineClass = textIn (object, "class");
    vm.reclaimable = flagIn (object, "reclaimable", false);
    vm.leaving = textIn (object, "state") != "live";
    vm.leavesIn = std::chrono::milliseconds (
        static_cast<std::int64_t> (numberIn (object, "leaves_in_milliseconds", 0)));
    vm.price = numberIn (object, "price", vm.price);

    if (vm.name.empty() || vm.failureDomain.empty())
        return {};

    const auto* replicas = object.if_contains ("replicas");

    if (replicas == nullptr || ! replicas->is_array())
        return vm;

    for (const auto& entry : replicas->get_array())
    {
        if (auto replica = readReplica (entry))
            vm.replicas.push_back (std::move (*replica));
        else
            ++skipped;
    }

    return vm;
}

} // namespace

auto parseVmList (std::string_view text, std::size_t& skipped) -> std::optional<std::vector<Vm>>
{
    const auto object = parseObject (text);

    if (! object)
        return {};

    const auto* list = object->if_contains ("vms");

    if (list == nullptr || ! list->is_array())
        return {};

    std::vector<Vm> vms;

    for (const auto& entry : list->get_array())
    {
        if (auto vm = readVm (entry, skipped))
            vms.push_back (std::move (*vm));
        else
            ++skipped;
    }

    return vms;
}

} // namespace snowrudder
