#pragma once

#include <stdexcept>
#include <string>

namespace rattanmount::core {

/// The base class of all exceptions that this program defines.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown when input from a caller or an operator is invalid; the message names the field and the fault.
class invalid_argument : public error {
public:
    using error::error;
};

/// Thrown when input from a caller is larger than this program or an external system can take; the message
/// names the size and the limit.
class too_large : public error {
public:
    using error::error;
};

/// Thrown when an external system gave no usable answer and the call certainly had no effect.
class unavailable : public error {
public:
    using error::error;
};

/// Thrown when an external system gave no usable answer and the call may have taken effect.
class outcome_unknown : public error {
public:
    using error::error;
};

} // namespace rattanmount::core
