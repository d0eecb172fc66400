"""Run robinthread from a source checkout without installing it.

Python adds the directory of this script to ``sys.path``, so the package can be imported.
"""

from robinthread.__main__ import main_and_exit

if __name__ == "__main__":
    main_and_exit()
