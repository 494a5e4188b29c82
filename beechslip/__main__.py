"""``python -m beechslip`` runs one doorman; with arguments it is the command line."""
import sys

if len(sys.argv) > 1:
    from beechslip import cli

    sys.exit(cli.main())

# A serving doorman starts no programs and uses no sendfile: refused here before aiohttp is imported.
from beechslip.platform.confine import confine

confine()

from beechslip import doorman  # noqa: E402

sys.exit(doorman.main())
