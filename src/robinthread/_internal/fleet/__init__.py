"""Planning for the fleet's machines: pool sizes, upkeep, and the orders that follow from them."""
