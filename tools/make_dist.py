"""Builds the single file ``dist/coltsfootsail``, a zipapp.

All libraries go in as Python source; compiled parts are left out, since
a zipapp can't load them without unpacking to disk.  msgpack runs on its
own fallback then.
"""

import pathlib
import shutil
import subprocess
import sys
import zipapp

ROOT = pathlib.Path(__file__).parent.parent
BUILD = ROOT / "build" / "app"
OUTPUT = ROOT / "dist" / "coltsfootsail"
LEFT_OUT = ("*.so", "__pycache__", "bin")
TEST_ONLY = ("hacking", "hypothesis", "pytest", "ruff", "flake8", "execnet")
MAIN = "from coltsfootsail import __main__\n\n__main__.main()\n"


def runtime_requirements():
    """List the locked requirements that are not for tests only."""
    lines = (ROOT / "requirements.lock").read_text().split()
    return [
        line
        for line in lines
        if not line.lower().startswith((*TEST_ONLY, "setuptools"))
    ]


def install(arguments):
    """Install packages into the build folder."""
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--no-deps", "--no-compile", "--target", str(BUILD)]
    subprocess.run([*command, *arguments], check=True)


def main():
    """Build the file."""
    shutil.rmtree(BUILD, ignore_errors=True)
    BUILD.mkdir(parents=True)
    install(runtime_requirements())
    source = ROOT / "src" / "coltsfootsail"
    shutil.copytree(source, BUILD / "coltsfootsail")
    for pattern in LEFT_OUT:
        for found in sorted(BUILD.rglob(pattern)):
            if found.is_dir():
                shutil.rmtree(found)
            else:
                found.unlink()
    (BUILD / "__main__.py").write_text(MAIN)
    OUTPUT.parent.mkdir(exist_ok=True)
    zipapp.create_archive(
        BUILD, OUTPUT, "/usr/bin/env python3", compressed=True
    )
    print(f"{OUTPUT}: {OUTPUT.stat().st_size} bytes")


if __name__ == "__main__":
    main()
