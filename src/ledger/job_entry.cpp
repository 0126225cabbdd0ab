#include "ledger/job_entry.h"

#include "ledger/stable_hash.h"

namespace rattanmount::ledger {

bool job_entry::matches(const core::job_spec& request) const {
    if (!this->payload_hash) {
        return this->spec == request;
    }
    core::job_spec bare = request;
    bare.payload.clear();
    return this->spec == bare && *this->payload_hash == stable_hash(request.payload);
}

void job_entry::drop_payload() {
    if (this->spec.payload.empty()) {
        return;
    }
    this->payload_hash = stable_hash(this->spec.payload);
    this->spec.payload = std::string{};
}

} // namespace rattanmount::ledger
