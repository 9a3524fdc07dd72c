#pragma once

#include "../concurrency/AsioNames.h"

#include "snowrudder_core/snowrudder_core.h"

#include <optional>

namespace snowrudder
{

/** @returns why a request could not be read, or nothing when the connection was lost or closed. */
auto errorKindOf (boost::system::error_code error) -> std::optional<ErrorKind>;

} // namespace snowrudder
