#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** An upstream replica on a VM. */
struct VmReplica
{
    std::string name;
    std::string service;
    /** IP-NUMBER:PORT */
    std::string endpoint;
    std::uint32_t slots = 16;
};

/** An entry of the platform's VM list. */
struct Vm
{
    std::string name;
    std::string failureDomain;
    std::string machineClass;
    bool reclaimable = false;
    bool leaving = false;
    /** Time until a leaving VM is removed, measured from the creation of the list. */
    std::chrono::milliseconds leavesIn {};
    /** Price per hour. */
    double price = 1.0;
    std::vector<VmReplica> replicas;
};

/** Parses the platform's VM list. Invalid entries of VMs and replicas are skipped.

    @param skipped  incremented for each skipped entry
    @returns        the VMs, or nothing if the text is not a VM list
*/
auto parseVmList (std::string_view text, std::size_t& skipped) -> std::optional<std::vector<Vm>>;

} // namespace snowrudder
