"""Periodic duties divided among doormans: membership (SWIM), rendezvous assignment, leases, a schedule."""
