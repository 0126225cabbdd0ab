#include "core/job.h"

#include "core/errors.h"
#include "core/names.h"

namespace rattanmount::core {

namespace {

void append_field(std::string& text, std::string_view field) {
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

void check_name(std::string_view field, const std::string& name) {
    if (name.empty()) {
        throw invalid_argument(std::string{field} + ": is missing");
    }
    if (name.size() > job_limits::max_name_bytes) {
        throw invalid_argument(std::string{field} + ": longer than " +
                               std::to_string(job_limits::max_name_bytes) + " bytes");
    }
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
    if (name.find_first_not_of(allowed) != std::string::npos) {
        throw invalid_argument(std::string{field} + ": '" + name +
                               "' has a character other than letters, digits, '-', '_', '.' and ':'");
    }
}

void require(bool condition, const std::string& message) {
    if (!condition) {
        throw invalid_argument(message);
    }
}

} // namespace

std::string job_spec::fingerprint() const {
    std::string text;
    append_field(text, this->id.text());
    append_field(text, this->pool.value());
    append_field(text, to_string(this->kind));
    append_field(text, std::to_string(this->tasks));
    append_field(text, this->each.text());
    append_field(text, std::to_string(this->expected_run_time.count()));
    append_field(text, this->idempotent ? "1" : "0");
    append_field(text, std::to_string(this->max_attempts));
    append_field(text, this->service.value());
    append_field(text, this->payload);
    return text;
}

void job_spec::check() const {
    check_name("team", this->id.team.value());
    check_name("key", this->id.key.value());
    check_name("pool", this->pool.value());
    require(this->tasks >= 1 && this->tasks <= job_limits::max_tasks,
            "tasks: must be from 1 to " + std::to_string(job_limits::max_tasks));
    require(this->each.valid(), "each: has a negative amount");
    require(this->expected_run_time.count() >= 0, "expected_run_time: is negative");
    require(this->max_attempts >= 1 && this->max_attempts <= job_limits::max_attempts,
            "max_attempts: must be from 1 to " + std::to_string(job_limits::max_attempts));
    require(this->payload.size() <= job_limits::max_payload_bytes,
            "payload: longer than " + std::to_string(job_limits::max_payload_bytes) + " bytes");
    require(this->idempotent || this->max_attempts == 1, "max_attempts: must be 1 if idempotent is false");
    require(this->idempotent || this->kind != work_kind::service,
            "idempotent: must be true for a service, because its tasks are restarted");
    if (this->kind == work_kind::quick) {
        check_name("service", this->service.value());
        require(this->tasks == 1, "tasks: must be 1 for quick work");
        return;
    }
    require(this->service.empty(), "service: allowed only for quick work");
    require(this->each != resources{}, "each: must request at least one resource");
}

} // namespace rattanmount::core
