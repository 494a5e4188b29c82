"""``python -m beechslip`` runs one doorman."""
import sys

from beechslip.doorman import main

sys.exit(main())
