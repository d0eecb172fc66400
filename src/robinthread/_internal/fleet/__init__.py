"""The fleet's machines: how many a pool needs, who is due for upkeep, what is ordered."""
