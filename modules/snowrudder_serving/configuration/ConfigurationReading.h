#pragma once

#include "RoutingConfiguration.h"

#include <cstddef>
#include <memory>
#include <string>

namespace snowrudder
{

/** A member of a configuration that is not as it must be. */
struct ConfigurationFault
{
    /** Path of the member, such as `routes[3].timeout_ms`. */
    std::string path;
    std::string found;
    std::string allowed;
};

/** The result of decoding a stored configuration: either the whole of it, or why it was refused. */
struct ConfigurationReading
{
    /** Null if there is any fault. */
    std::shared_ptr<RoutingConfiguration> configuration;
    /** The operators' version number, where it can be read. */
    std::uint64_t version = 0;
    ConfigurationFault firstFault;
    std::size_t faultCount = 0;
};

} // namespace snowrudder
