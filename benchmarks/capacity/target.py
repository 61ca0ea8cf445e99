"""The planned fleet, its load and its budgets, as the operators state them for two years ahead."""

BROKERS = 2600
NODES = 12_000
REGIONS = 3
ZONES = 10
BROKERS_OF_A_ZONE = 260
NODES_OF_A_ZONE = 1200
CONTROL_MACHINES = 15

QUERIES_OF_A_BROKER = 242  # a second
PARTS = 130  # of one query
PARTS_OF_A_BROKER = QUERIES_OF_A_BROKER * PARTS  # a second
PARTS_OF_A_NODE = BROKERS * PARTS_OF_A_BROKER / NODES  # a second

ANSWER_SECONDS = 0.140  # 99 of 100 answers
CONFIGURATION_SECONDS = 7.0  # until a change is in force everywhere
CONFIGURATION_CHANGES = 4000  # a day
FAILED_MACHINES = 42  # a day
RESTARTED_MACHINES = 1400  # a day
DAY_SECONDS = 86_400

CONTROL_CORES = 0.047  # of one core, a broker, all control together
CONTROL_MEMORY = 64e6  # bytes a broker, all control together
CONTROL_BYTES = 3000.0  # a second a broker, all control together

MACHINE_CHANGES = FAILED_MACHINES + RESTARTED_MACHINES
LIST_CHANGES = 2 * MACHINE_CHANGES * NODES / (NODES + BROKERS)  # a day, nodes alone: gone and back
