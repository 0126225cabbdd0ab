#include "inner/call_tracker.h"

namespace rattanmount::inner {

void* call_tracker::getContext(const char* /*name*/, void* /*server_context*/) {
    this->calls.begin();
    return nullptr;
}

void call_tracker::freeContext(void* /*context*/, const char* /*name*/) {
    this->calls.end();
}

} // namespace rattanmount::inner
