#include "almondlever/customers/CustomerRegistry.h"

namespace almondlever {

void CustomerRegistry::add(const Customer& customer)
{
    customers_[customer.id] = customer;
    for (const KeyDigest& key : customer.keys) {
        if (!findByKey(key))
            keys_.emplace(key.prefix(), Entry { key, customer.id });
    }
}

const Customer* CustomerRegistry::findByKey(const KeyDigest& key) const
{
    const auto range = keys_.equal_range(key.prefix());
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second.key == key)
            return find(it->second.customer);
    }
    return nullptr;
}

const Customer* CustomerRegistry::find(const CustomerId& id) const
{
    const auto found = customers_.find(id);
    return found == customers_.end() ? nullptr : &found->second;
}

} // namespace almondlever
