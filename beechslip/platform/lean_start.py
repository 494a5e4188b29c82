"""Load asyncio without TLS, which a serving proxy does not use and which takes 4 MB of its memory."""

from __future__ import annotations

import sys
from typing import Any

TLS_MODULE = "ssl"


def load_asyncio_without_tls() -> None:
    """Import asyncio as on a system without OpenSSL. Other modules may import ``ssl`` afterwards.

    No effect if asyncio has been imported already.
    """
    if "asyncio" in sys.modules or TLS_MODULE in sys.modules:
        return
    modules: dict[str, Any] = sys.modules
    modules[TLS_MODULE] = None  # makes ``import ssl`` raise ImportError, which asyncio is prepared for
    try:
        import asyncio  # noqa: F401
    finally:
        del modules[TLS_MODULE]
