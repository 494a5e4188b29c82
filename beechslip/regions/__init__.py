"""Stop using a failing region of caches or hubs across the whole fleet, and return to it at a pace it can carry."""
