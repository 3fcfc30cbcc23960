"""Starts a gateway from a checkout.

Running the package by its path would put the package's directory first on sys.path. Its platform
package would then shadow the platform module of the standard library.
"""

import pathlib
import signal
import sys

# The platform may send SIGHUP, for changed settings, before the gateway has installed its handler.
# The default action would terminate the process. The gateway reads the settings again after it has
# installed the handler.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from jayvalve.platform.command import main  # noqa: E402

main()
