"""beechslip: a proxy that routes requests to caches as ``beechslip.routing`` decides."""
