#pragma once

#include "SettingsError.h"

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace snowrudder
{

/** Reads a JSON document, which may contain comments, into a protobuf message and validates every field: its name must
    be in the schema, its type must match, and its rules (see field_rules.proto) must be met. Reports all errors of the
    fields, not only the first; after a syntax error or a member given twice no fields are read.

    @param text     the document
    @param file     the file name for errors
    @param message  cleared first; complete only if no error is returned
    @returns        the errors; empty if the document is valid
*/
auto readMessage (std::string_view text, std::string_view file, google::protobuf::Message& message)
    -> SettingsErrors;

/** Reads a file with readMessage(). Returns an error if the file can't be read. */
auto readMessageFile (const std::string& file, google::protobuf::Message& message) -> SettingsErrors;

/** @returns whether a text has the form IP-NUMBER:PORT. */
auto isEndpoint (std::string_view text) -> bool;

/** @returns a message as JSON with the field names of the schema. Unset fields are omitted. */
auto writeMessage (const google::protobuf::Message& message) -> std::string;

} // namespace snowrudder
