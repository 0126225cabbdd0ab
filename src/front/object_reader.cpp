#include "front/object_reader.h"

#include "core/duration_text.h"
#include "core/errors.h"
#include "front/bytes_text.h"

#include <utility>

namespace rattanmount::front {

object_reader::object_reader(const nlohmann::json& value, std::string path)
    : value(value), path(std::move(path)) {
    if (!value.is_object()) {
        throw core::invalid_argument((this->path.empty() ? "the body" : this->path) + ": must be an object");
    }
}

bool object_reader::has(const std::string& field) const {
    const auto found = this->value.find(field);
    return found != this->value.end() && !found->is_null();
}

std::string object_reader::text(const std::string& field) {
    const auto& found = this->member(field);
    if (!found.is_string()) {
        this->throw_invalid(field, "must be a string");
    }
    return found.get<std::string>();
}

std::string object_reader::text_or(const std::string& field, const std::string& default_value) {
    this->accessed_fields.insert(field);
    return this->has(field) ? this->text(field) : default_value;
}

bool object_reader::boolean(const std::string& field) {
    const auto& found = this->member(field);
    if (!found.is_boolean()) {
        this->throw_invalid(field, "must be true or false");
    }
    return found.get<bool>();
}

bool object_reader::boolean_or(const std::string& field, bool default_value) {
    this->accessed_fields.insert(field);
    return this->has(field) ? this->boolean(field) : default_value;
}

std::int64_t object_reader::integer(const std::string& field, std::int64_t min_value,
                                    std::int64_t max_value) {
    const auto& found = this->member(field);
    const bool too_large = found.is_number_unsigned() && found.get<std::uint64_t>() > INT64_MAX;
    if (!found.is_number_integer() || too_large || found.get<std::int64_t>() < min_value ||
        found.get<std::int64_t>() > max_value) {
        this->throw_invalid(field, "must be a whole number from " + std::to_string(min_value) + " to " +
                                       std::to_string(max_value));
    }
    return found.get<std::int64_t>();
}

std::int64_t object_reader::integer_or(const std::string& field, std::int64_t default_value,
                                       std::int64_t min_value, std::int64_t max_value) {
    this->accessed_fields.insert(field);
    return this->has(field) ? this->integer(field, min_value, max_value) : default_value;
}

core::milliseconds object_reader::duration_or(const std::string& field, core::milliseconds default_value) {
    this->accessed_fields.insert(field);
    if (!this->has(field)) {
        return default_value;
    }
    const auto text = this->text(field);
    try {
        return core::parse_duration(text);
    } catch (const core::invalid_argument& error) {
        this->throw_invalid(field, error.what());
    }
}

std::string object_reader::bytes_or(const std::string& field, const std::string& default_value) {
    const auto encoded_field = field + "_base64";
    auto plain = this->text_or(field, default_value);
    const auto encoded = this->text_or(encoded_field, "");
    if (!this->has(encoded_field)) {
        return plain;
    }
    if (this->has(field)) {
        this->throw_invalid(field, "give either this field or " + encoded_field);
    }
    try {
        return decode_base64(encoded);
    } catch (const core::invalid_argument& error) {
        this->throw_invalid(encoded_field, error.what());
    }
}

std::vector<std::string> object_reader::texts(const std::string& field) {
    const auto& found = this->member(field);
    if (!found.is_array()) {
        this->throw_invalid(field, "must be a list");
    }
    std::vector<std::string> texts;
    for (const auto& element : found) {
        if (!element.is_string()) {
            this->throw_invalid(field, "must contain only strings");
        }
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

const nlohmann::json& object_reader::member(const std::string& field) {
    this->accessed_fields.insert(field);
    if (!this->has(field)) {
        this->throw_invalid(field, "is missing");
    }
    return this->value.at(field);
}

std::string object_reader::path_of(const std::string& field) const {
    return this->path.empty() ? field : this->path + "." + field;
}

void object_reader::refuse_unread_fields() const {
    for (const auto& [field, element] : this->value.items()) {
        if (!this->accessed_fields.contains(field)) {
            this->throw_invalid(field, "is not a known field");
        }
    }
}

void object_reader::throw_invalid(const std::string& field, const std::string& problem) const {
    throw core::invalid_argument(this->path_of(field) + ": " + problem);
}

} // namespace rattanmount::front
