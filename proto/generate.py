"""Generates the code of the operators' schema; run by ``make generate``."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
OUTPUT = ROOT / "poplarward" / "protocol" / "generated"


def main() -> None:
    """Write the messages and the Connect service beside each other."""
    programs = Path(sys.executable).parent
    subprocess.run(
        [
            programs / "protoc",
            f"--plugin={programs / 'protoc-gen-connectrpc'}",
            f"--proto_path={ROOT / 'proto'}",
            f"--python_out={OUTPUT}",
            f"--connectrpc_out={OUTPUT}",
            "--connectrpc_opt=protobuf=google",
            "poplarward/v1/operations.proto",
        ],
        check=True,
    )


if __name__ == "__main__":
    main()
