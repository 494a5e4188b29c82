"""What a proxy process takes before it serves."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

LOADED_MODULES = """
import sys
sys.argv = ["beechslip"]
from beechslip.platform.lean_start import load_without_openssl
load_without_openssl()
import hashlib
import beechslip.process
assert hashlib.blake2b(b"7f3a", digest_size=8).hexdigest() == "%s"
print(sorted({"ssl", "_ssl", "_hashlib"} & set(sys.modules)))
import ssl, hmac
print(hmac.new(b"k", b"m", "sha256").hexdigest() == "%s", ssl.OPENSSL_VERSION != "")
"""


# Guards against OpenSSL, which is loaded for no use and counts for both processes of an upgrade.
def test_a_proxy_loads_no_openssl_and_other_modules_still_may() -> None:
    import hashlib
    import hmac

    digests = (hashlib.blake2b(b"7f3a", digest_size=8).hexdigest(), hmac.new(b"k", b"m", "sha256").hexdigest())
    code = LOADED_MODULES % digests
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.split("\n")[:2] == ["[]", "True True"]
