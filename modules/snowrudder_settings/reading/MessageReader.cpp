#include "MessageReader.h"

#include "LineIndex.h"

#include "field_rules.pb.h"
#include "snowrudder_core/snowrudder_core.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <google/protobuf/util/json_util.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>

namespace snowrudder
{

namespace json = boost::json;
namespace proto = google::protobuf;

namespace
{

/** Traverses a JSON document, validates it, and fills a message from it. */
class DocumentReader
{
public:
    DocumentReader (std::string_view file, const LineIndex& lines) : fileName (file), lineIndex (lines) {}

    auto readObject (const json::value& value, proto::Message& message, const std::string& path) -> void
    {
        if (! value.is_object())
            return addError (path, "must be an object");

        const auto& descriptor = *message.GetDescriptor();

        for (const auto& [name, member] : value.get_object())
        {
            const auto* field = descriptor.FindFieldByName (std::string (name));
            const auto fieldPath = memberPath (path, std::string_view (name.data(), name.size()));

            if (field == nullptr)
                addError (fieldPath, "is not a known setting" + knownFieldNames (descriptor));
            else
                readField (member, message, *field, fieldPath);
        }

        checkRequired (value.get_object(), descriptor, path);
    }

    SettingsErrors errors;

private:
    using Field = proto::FieldDescriptor;

    auto addError (const std::string& path, std::string message) -> void
    {
        const auto found = lineIndex.find (path);
        errors.push_back (
            { fileName, found == lineIndex.end() ? 0 : found->second, path, std::move (message) });
    }

    static auto knownFieldNames (const proto::Descriptor& descriptor) -> std::string
    {
        std::string names;

        for (auto index = 0; index < descriptor.field_count(); ++index)
            names += (index == 0 ? " (known: " : ", ") + descriptor.field (index)->name();

        return names + ")";
    }

    static auto rulesOf (const Field& field) -> const schema::FieldRules&
    {
        return field.options().GetExtension (schema::rules);
    }

    auto checkRequired (const json::object& object,
                        const proto::Descriptor& descriptor,
                        const std::string& path) -> void
    {
        for (auto index = 0; index < descriptor.field_count(); ++index)
        {
            const auto& field = *descriptor.field (index);

            if (rulesOf (field).required() && ! object.contains (field.name()))
                addError (path, "lacks the setting \"" + field.name() + "\"");
        }
    }

    auto readField (const json::value& value,
                    proto::Message& message,
                    const Field& field,
                    const std::string& path) -> void
    {
        if (field.is_map())
            return readMap (value, message, field, path);

        if (! field.is_repeated())
            return readValue (value, message, field, path);

        if (! value.is_array())
            return addError (path, "must be a list");

        auto position = std::size_t { 0 };

        for (const auto& element : value.get_array())
            readValue (element, message, field, elementPath (path, position++));
    }

    auto readMap (const json::value& value,
                  proto::Message& message,
                  const Field& field,
                  const std::string& path) -> void
    {
        if (! value.is_object())
            return addError (path, "must be an object");

        const auto& entryType = *field.message_type();

        for (const auto& [name, member] : value.get_object())
        {
            const auto entryName = std::string (name);
            const auto entryPath = memberPath (path, entryName);

            if (! isValidName (entryName))
                addError (entryPath, "must be a name of 1 to 63 of a-z, 0-9 and '-'");

            auto& entry = *message.GetReflection()->AddMessage (&message, &field);
            entry.GetReflection()->SetString (&entry, entryType.map_key(), entryName);
            readValue (member, entry, *entryType.map_value(), entryPath);
        }
    }

    auto readValue (const json::value& value,
                    proto::Message& message,
                    const Field& field,
                    const std::string& path) -> void
    {
        switch (field.cpp_type())
        {
            case Field::CPPTYPE_MESSAGE:
                return readObject (value, mutableChild (message, field), path);
            case Field::CPPTYPE_STRING:
                return readString (value, message, field, path);
            case Field::CPPTYPE_BOOL:
                return readBool (value, message, field, path);
            case Field::CPPTYPE_ENUM:
                return readEnum (value, message, field, path);
            default:
                return readNumber (value, message, field, path);
        }
    }

    static auto mutableChild (proto::Message& message, const Field& field) -> proto::Message&
    {
        const auto& reflection = *message.GetReflection();
        return field.is_repeated() ? *reflection.AddMessage (&message, &field)
                                   : *reflection.MutableMessage (&message, &field);
    }

    auto readString (const json::value& value,
                     proto::Message& message,
                     const Field& field,
                     const std::string& path) -> void
    {
        if (! value.is_string())
            return addError (path, "must be a text in quotes");

        const auto text = std::string (value.get_string());

        if (rulesOf (field).name() && ! isValidName (text))
            return addError (path, "must be a name of 1 to 63 of a-z, 0-9 and '-'");

        if (rulesOf (field).endpoint() && ! isEndpoint (text))
            return addError (path, "must be IP-NUMBER:PORT");

        if (rulesOf (field).required() && text.empty())
            return addError (path, "must not be empty");

        const auto& reflection = *message.GetReflection();

        if (field.is_repeated())
            reflection.AddString (&message, &field, text);
        else
            reflection.SetString (&message, &field, text);
    }

    auto readBool (const json::value& value,
                   proto::Message& message,
                   const Field& field,
                   const std::string& path) -> void
    {
        if (! value.is_bool())
            return addError (path, "must be true or false");

        message.GetReflection()->SetBool (&message, &field, value.get_bool());
    }

    auto readEnum (const json::value& value,
                   proto::Message& message,
                   const Field& field,
                   const std::string& path) -> void
    {
        const auto* choice = value.is_string()
                                 ? field.enum_type()->FindValueByName (std::string (value.get_string()))
                                 : nullptr;

        if (choice != nullptr)
            return message.GetReflection()->SetEnum (&message, &field, choice);

        std::string choices;

        for (auto index = 0; index < field.enum_type()->value_count(); ++index)
            choices += (index == 0 ? "" : ", ") + field.enum_type()->value (index)->name();

        addError (path, "must be one of: " + choices);
    }

    auto readNumber (const json::value& value,
                     proto::Message& message,
                     const Field& field,
                     const std::string& path) -> void
    {
        if (! value.is_number())
            return addError (path, "must be a number");

        const auto number = value.to_number<double>();
        const auto& rules = rulesOf (field);

        if (rules.has_minimum() && number < rules.minimum())
            return addError (path, "must be at least " + json::serialize (json::value (rules.minimum())));

        if (rules.has_maximum() && number > rules.maximum())
            return addError (path, "must be at most " + json::serialize (json::value (rules.maximum())));

        if (field.cpp_type() != Field::CPPTYPE_DOUBLE && (number < 0.0 || number != std::floor (number)))
            return addError (path, "must be a whole number, not negative");

        storeNumber (number, message, field, path);
    }

    auto storeNumber (double number, proto::Message& message, const Field& field, const std::string& path)
        -> void
    {
        const auto& reflection = *message.GetReflection();

        if (field.cpp_type() == Field::CPPTYPE_DOUBLE)
            return reflection.SetDouble (&message, &field, number);

        if (field.cpp_type() == Field::CPPTYPE_UINT64)
            return reflection.SetUInt64 (&message, &field, static_cast<std::uint64_t> (number));

        if (number > std::numeric_limits<std::uint32_t>::max())
            return addError (path, "is too large");

        const auto integer = static_cast<std::uint32_t> (number);

        if (field.is_repeated())
            reflection.AddUInt32 (&message, &field, integer);
        else
            reflection.SetUInt32 (&message, &field, integer);
    }

    std::string fileName;
    const LineIndex& lineIndex;
};

} // namespace

auto isEndpoint (std::string_view text) -> bool
{
    const auto colon = text.rfind (':');

    if (colon == std::string_view::npos)
        return false;

    auto port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars (text.data() + colon + 1, end, port);

    if (parsed.ec != std::errc() || parsed.ptr != end || port < 0 || port > 65535)
        return false;

    boost::system::error_code error;
    boost::asio::ip::make_address (std::string (text.substr (0, colon)), error);
    return ! error;
}

auto readMessage (std::string_view text, std::string_view file, proto::Message& message) -> SettingsErrors
{
    message.Clear();
    const auto index = indexLines (text);

    if (! index.error.empty())
        return { { std::string (file), index.line, "", "not valid JSON: " + index.error } };

    if (! index.duplicatePath.empty())
        return { { std::string (file), index.lines.find (index.duplicatePath)->second, index.duplicatePath,
                   "is given twice" } };

    json::parse_options options;
    options.allow_comments = true;
    boost::system::error_code error;
    const auto value = json::parse (text, error, {}, options);

    if (error)
        return { { std::string (file), index.line, "", "not valid JSON: " + error.message() } };

    DocumentReader reader (file, index.lines);
    reader.readObject (value, message, "");
    return reader.errors;
}

auto readMessageFile (const std::string& file, proto::Message& message) -> SettingsErrors
{
    std::ifstream stream (file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();

    if (! stream)
        return { { file, 0, "", "can't be read" } };

    return readMessage (text.str(), file, message);
}

auto writeMessage (const proto::Message& message) -> std::string
{
    proto::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = proto::util::MessageToJsonString (message, &text, options);

    requireInvariant (status.ok(), "a checked message can be written");
    return text;
}

} // namespace snowrudder
