"""Fail when a Markdown link or a docs/ link in a doc comment names a file that is not there."""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MARKDOWN_LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
DOCS_PATH = re.compile(r"\bdocs/[A-Za-z0-9_./-]+\.md\b")


def tracked(*patterns: str) -> list[pathlib.Path]:
    out = subprocess.run(["git", "ls-files", *patterns], cwd=ROOT, check=True, capture_output=True, text=True)
    return [ROOT / line for line in out.stdout.splitlines() if (ROOT / line).exists()]


def main() -> int:
    broken = []
    for path in tracked("*.md"):
        for target in MARKDOWN_LINK.findall(path.read_text()):
            if "://" in target or target.startswith("mailto:"):
                continue
            if not (path.parent / target).exists():
                broken.append(f"{path.relative_to(ROOT)}: {target}")
    for path in tracked("*.rs"):
        for target in DOCS_PATH.findall(path.read_text()):
            if not (ROOT / target).exists():
                broken.append(f"{path.relative_to(ROOT)}: {target}")
    for line in broken:
        print(f"broken link: {line}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
