"""``python -m beechslip`` runs one doorman; with arguments it is the command line."""
import sys

if len(sys.argv) > 1:
    from beechslip import cli

    sys.exit(cli.main())

from beechslip import doorman

sys.exit(doorman.main())
