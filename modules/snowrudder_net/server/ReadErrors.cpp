#include "ReadErrors.h"

namespace snowrudder
{

auto errorKindOf (boost::system::error_code error) -> std::optional<ErrorKind>
{
    const auto& parserErrors = http::make_error_code (http::error::bad_method).category();

    // A connection that is lost, or closed by the caller, and a lack of memory say nothing against the request.
    if (error.category() != parserErrors || error == http::error::end_of_stream ||
        error == http::error::partial_message || error == http::error::bad_alloc)
        return {};

    if (error == http::error::header_limit)
        return ErrorKind::headerTooLarge;

    if (error == http::error::body_limit)
        return ErrorKind::bodyTooLarge;

    return ErrorKind::invalidRequest;
}

} // namespace snowrudder
