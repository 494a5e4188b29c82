"""Periodic duties divided among proxies: membership (SWIM), rendezvous hashing, leases and a schedule."""
