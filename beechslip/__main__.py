"""Entry point of ``python -m beechslip``: runs one proxy, or the command line if there are arguments."""

import signal
import sys

if len(sys.argv) > 1:
    from beechslip import cli

    sys.exit(cli.main())

# By default these signals end the process. While they are blocked, one that arrives as the program loads stays
# pending until the proxy has installed its handlers.
signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP, signal.SIGUSR1])

# A proxy that serves starts no other programs and does not use sendfile. Both are forbidden here, before anything
# that might use them is imported.
from beechslip.platform.confine import confine  # noqa: E402
from beechslip.platform.lean_start import load_without_openssl  # noqa: E402

confine()
load_without_openssl()

from beechslip import process  # noqa: E402

sys.exit(process.main())
