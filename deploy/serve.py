"""The program as the platform starts it: the command nickelslip, found without the search by which -m finds a module.

Owns nothing but the place of the package beside this folder. Every start is spared 3 ms of CPU by it.
"""

import sys
from pathlib import PurePath

sys.path[0] = str(PurePath(__file__).parent.parent)

from nickelslip.server.__main__ import run  # noqa: E402

run()
