"""beechslip: a doorman that routes requests to caches by the decisions of ``aldershed``."""
