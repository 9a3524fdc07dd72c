#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <boost/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace snowrudder
{

/** A response of the administration API. */
struct AdminResponse
{
    std::error_code error;
    unsigned status = 0;
    boost::json::value body;

    [[nodiscard]] auto isGood() const -> bool { return ! error && status >= 200 && status < 300; }
};

/** Blocking client of an administration API. */
class AdminClient
{
public:
    /** @param key  the operator's bearer key */
    AdminClient (const std::string& address, std::string key);

    /** @param headers  name and value pairs */
    auto call (http::verb method,
               const std::string& target,
               const std::string& body = {},
               const std::vector<std::pair<std::string, std::string>>& headers = {}) -> AdminResponse;

private:
    tcp::endpoint endpoint;
    std::string operatorKey;
};

/** @returns the key in the first line of a file; empty if the file can't be read. */
auto readKeyFile (const std::string& file) -> std::string;

} // namespace snowrudder
