"""Where the list of holders comes from and what it says to the module."""
