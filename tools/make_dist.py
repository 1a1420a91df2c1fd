"""Builds ``dist/coltsfootsail``, a zipapp in a single file.

It contains all libraries as Python source.  Compiled extensions are left
out, since a zipapp can't load them without unpacking them to disk; msgpack
then uses its fallback in pure Python.
"""

import pathlib
import shutil
import subprocess
import sys
import zipapp

ROOT = pathlib.Path(__file__).parent.parent
BUILD = ROOT / "build" / "app"
OUTPUT = ROOT / "dist" / "coltsfootsail"
EXCLUDED = ("*.so", "__pycache__", "bin")
TEST_ONLY = ("hacking", "hypothesis", "pytest", "ruff", "flake8", "execnet")
MAIN_MODULE = "from coltsfootsail import __main__\n\n__main__.main()\n"


def runtime_requirements():
    """List the locked requirements, except those only needed for tests."""
    lines = (ROOT / "requirements.lock").read_text().split()
    return [
        line
        for line in lines
        if not line.lower().startswith((*TEST_ONLY, "setuptools"))
    ]


def install(arguments):
    """Install packages into the build folder.

    :param arguments: further arguments of ``pip install``.
    """
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--no-deps", "--no-compile", "--target", str(BUILD)]
    subprocess.run([*command, *arguments], check=True)


def main():
    """Build the zipapp."""
    shutil.rmtree(BUILD, ignore_errors=True)
    BUILD.mkdir(parents=True)
    install(runtime_requirements())
    source = ROOT / "src" / "coltsfootsail"
    shutil.copytree(source, BUILD / "coltsfootsail")
    for pattern in EXCLUDED:
        for path in sorted(BUILD.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
    (BUILD / "__main__.py").write_text(MAIN_MODULE)
    OUTPUT.parent.mkdir(exist_ok=True)
    zipapp.create_archive(
        BUILD, OUTPUT, "/usr/bin/env python3", compressed=True
    )
    print(f"{OUTPUT}: {OUTPUT.stat().st_size} bytes")


if __name__ == "__main__":
    main()
