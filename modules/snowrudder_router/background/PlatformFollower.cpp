#include "PlatformFollower.h"

#include "../gateway/CallerScope.h"

namespace snowrudder
{

namespace
{

constexpr auto watchTimeout = 10s;
constexpr auto minBackOff = 200ms;
constexpr auto maxBackOff = 5s;
constexpr auto listInterval = 1s;

/** @returns the back-off after another failure: twice the previous one, up to a maximum. */
auto nextBackOff (Duration backOff) -> Duration
{
    return std::min<Duration> (backOff * 2, maxBackOff);
}

/** Records a reclaim notice of this router's own VM, if the VM list shows one. */
auto recordOwnNotice (RouterState& state, const std::vector<Vm>& vms) -> void
{
    for (const auto& vm : vms)
        if (vm.name == state.settings.node().vm() && vm.leaving && ! state.reclaimNotice())
            state.noticeMilliseconds = vm.leavesIn.count();
}

auto toListedReplicas (const std::vector<Vm>& vms) -> std::vector<ListedReplica>
{
    std::vector<ListedReplica> listed;

    for (const auto& vm : vms)
    {
        for (const auto& replica : vm.replicas)
        {
            ListedReplica entry;
            entry.info = { replica.name,     vm.name,       vm.failureDomain, replica.service,
                           replica.endpoint, replica.slots, vm.price };
            entry.leaving = vm.leaving;
            listed.push_back (std::move (entry));
        }
    }

    return listed;
}

} // namespace

auto adoptTree (RouterState& state, const std::string& text, std::uint64_t revision) -> bool
{
    if (revision <= state.fleet()->revision())
        return false;

    schema::FleetSettings tree;
    auto errors = readMessage (text, "settings tree", tree);

    if (errors.empty())
        errors = checkTree (tree, "settings tree");

    for (const auto& error : errors)
        LogLine ("tree_refused").with ("revision", revision).with ("error", toString (error)).error();

    if (! errors.empty() || ! state.setFleet (std::make_shared<const FleetView> (tree, revision), text))
        return false;

    state.hasTree = true;
    state.metrics.gauge ("snowrudder_settings_revision").set (static_cast<std::int64_t> (revision));
    LogLine ("tree_in_force").with ("revision", revision).info();
    return true;
}

auto followTree (RouterState& state, Worker& worker) -> Task<void>
{
    PlatformClient platform (worker.pool, parseEndpoint (state.settings.platform()), state.metrics);
    Duration backOff = minBackOff;

    for (;;)
    {
        const auto stored = co_await platform.read (treeStoreKey, "settings");

        if (! stored)
        {
            co_await pauseFor (worker.loop, jittered (backOff));
            backOff = nextBackOff (backOff);
            continue;
        }

        backOff = minBackOff;

        adoptTree (state, stored->value, stored->version);
        const auto version = stored->version;

        for (;;)
        {
            const auto newest =
                co_await platform.watch (treeStoreKey, version, watchTimeout, "settings_watch");

            if (! newest || *newest > version)
                break;
        }
    }
}

auto followVmList (RouterState& state, Worker& worker) -> Task<void>
{
    PlatformClient platform (worker.pool, parseEndpoint (state.settings.platform()), state.metrics);
    Duration backOff = minBackOff;

    for (;;)
    {
        const auto text = co_await platform.vmList();
        auto skipped = std::size_t { 0 };
        const auto vms = text ? parseVmList (*text, skipped) : std::nullopt;

        if (skipped > 0)
            state.metrics.counter ("snowrudder_vm_list_skipped_total").add (skipped);

        if (! vms)
        {
            co_await pauseFor (worker.loop, jittered (backOff));
            backOff = nextBackOff (backOff);
            continue;
        }

        backOff = minBackOff;
        recordOwnNotice (state, *vms);
        const auto listed = toListedReplicas (*vms);
        state.replicas.update (listed, BootClock::now());
        state.hasReplicas = ! listed.empty();
        co_await pauseFor (worker.loop, jittered (listInterval));
    }
}

} // namespace snowrudder
