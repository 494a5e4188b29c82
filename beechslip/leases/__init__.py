"""Leases for fleet-wide tasks: one holder at a time, with fencing tokens, among proxies without a disk."""
