#pragma once

#include <cassert>
#include <utility>
#include <variant>

namespace almondlever {

/**
 * A value or the error that prevented it, held in a std::variant. Accessing the alternative that is not held is a
 * programming error and fails an assertion.
 */
template <typename Value, typename Error> class [[nodiscard]] Result {
public:
    Result(Value value)
        : state_(std::in_place_index<0>, std::move(value))
    {
    }
    Result(Error error)
        : state_(std::in_place_index<1>, std::move(error))
    {
    }

    bool hasValue() const { return state_.index() == 0; }
    explicit operator bool() const { return hasValue(); }

    const Value& value() const
    {
        assert(hasValue());
        return std::get<0>(state_);
    }
    Value& value()
    {
        assert(hasValue());
        return std::get<0>(state_);
    }
    const Error& error() const
    {
        assert(!hasValue());
        return std::get<1>(state_);
    }

    const std::variant<Value, Error>& asVariant() const { return state_; }

private:
    std::variant<Value, Error> state_;
};

/** The value of operations that return nothing on success. */
struct Done { };

} // namespace almondlever
