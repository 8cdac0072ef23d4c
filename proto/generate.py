"""Generates code from the schema of the operations API (``make generate``)."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
OUTPUT = ROOT / "poplarward" / "protocol" / "generated"


def main() -> None:
    """Generate the message classes and the Connect service in the same directory."""
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
