#pragma once

#include <stdexcept>
#include <string>

namespace rattanmount::core {

/// The base of all errors that this program throws on purpose.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// What a caller or an operator sent cannot be taken; the text says why and where.
class invalid_argument : public error {
public:
    using error::error;
};

/// An outside system gave no usable answer and it is certain that the call had no effect.
class unavailable : public error {
public:
    using error::error;
};

/// An outside system gave no usable answer and the call may have had its effect.
class fate_unknown : public error {
public:
    using error::error;
};

} // namespace rattanmount::core
