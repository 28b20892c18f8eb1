"""Starts a gateway from a checkout, whose packages lie in ``target/deps``.

Python puts the folder of a started script first on its path. Started from
inside the package, the folder ``platform`` there would hide the standard
library's module of that name, and libraries that import it fail.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from mulberrywharf.programs import gateway

sys.exit(gateway.main())
