"""Load what a serving proxy uses of the standard library without OpenSSL, which takes some MB of its memory."""

from __future__ import annotations

import sys
from typing import Any

# ``ssl`` and the hash functions of OpenSSL. asyncio works without TLS, and hashlib has functions of the interpreter.
OPENSSL_MODULES = ("ssl", "_hashlib")


def load_without_openssl() -> None:
    """Import asyncio and hashlib as on a system without OpenSSL. Other modules may import it afterwards.

    No effect on a module that has been imported already.
    """
    hidden = [name for name in OPENSSL_MODULES if name not in sys.modules]
    modules: dict[str, Any] = sys.modules
    for name in hidden:
        modules[name] = None  # makes an import raise ImportError, which both are prepared for
    try:
        import asyncio  # noqa: F401
        import hashlib  # noqa: F401
    finally:
        for name in hidden:
            del modules[name]
