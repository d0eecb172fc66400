"""Run robinthread from a checkout, where it is not installed.

Python puts this file's folder on its path, and with it the package.
"""

from robinthread.__main__ import main_and_exit

if __name__ == "__main__":
    main_and_exit()
