#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/customers/KeyDigest.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace almondlever {

/** Limit on the operations of a customer, over all daemons together. */
struct RateLimit {
    /** Sustained rate in operations per second; 0 means no limit. */
    double operationsPerSecond = 0;
    /** Operations that may exceed the sustained rate at once. */
    double burst = 0;

    bool isUnlimited() const { return operationsPerSecond <= 0; }
    /** A value of the limit in thousandths, as daemons state it to each other. */
    static std::uint64_t toThousandths(double value)
    {
        constexpr double thousand = 1000;
        return static_cast<std::uint64_t>(std::llround(std::clamp(value, 0.0, 1e12) * thousand));
    }
};

/** One customer of a configuration. */
struct Customer {
    CustomerId id;
    std::vector<KeyDigest> keys;
    RateLimit limit;
};

/** The customers of one configuration, by key. */
class CustomerRegistry {
public:
    /** Adds a customer. A key that an earlier customer holds stays with that customer. */
    void add(const Customer&);

    /** The customer that holds the key; nullptr if none does. */
    const Customer* findByKey(const KeyDigest&) const;
    const Customer* find(const CustomerId&) const;
    const std::map<CustomerId, Customer>& customers() const { return customers_; }

private:
    struct Entry {
        KeyDigest key;
        CustomerId customer;
    };

    std::map<CustomerId, Customer> customers_;
    /** By KeyDigest::prefix(). */
    std::unordered_multimap<std::uint64_t, Entry> keys_;
};

} // namespace almondlever
