/*
 * The operator's documents at a mesh node: the newest record of each key,
 * read from the log page by page and then record by record, or received from
 * a peer as a whole set. The log may refuse one node and may drop its
 * history; a peer's set may be outdated when it arrives; a node may restart
 * without its state.
 *
 * Safety: a node holds every record below the offset that it states (complete),
 * and this offset never decreases between two restarts of the node
 * (no_revert).
 * Liveness: every node eventually holds the last record (converge).
 *
 * Seeded faults:
 * -DLAST_PAGE_END states the end offset of the last page, although records
 *   written between the pages are missing;
 * -DACCEPT_OLDER_SET accepts a peer's set with a lower offset;
 * -DNO_PEERS reads from the log only;
 * -DSKIP_GAP continues with the oldest kept record after the history was
 *   dropped.
 */

#define NODES 2
#define KEYS 2
#define WRITES 2

/* The log: record r has the key r % KEYS. The newest record of each key is
 * kept. */
byte log_end = 0;
byte log_start = 0;
bool refused[NODES]; /* the log permanently refuses the node */

typedef Node {
	byte held[KEYS]; /* 1 + offset of the record held for each key */
	byte known_end; /* offset that the node states: it holds every record below it */
	bool has_snapshot; /* has read the newest record of each key */
	bool restarted;
}
Node node[NODES];

typedef Set { byte held[KEYS]; byte known_end; bool present }
Set incoming[NODES]; /* a peer's set on its way to each node */

#define newest(k) ((log_end > 0 && (log_end - 1) % KEYS == k) -> log_end : ((log_end > 1) -> log_end - 1 : 0))

inline check_complete(i) {
	/* complete: no record below the stated offset is missing. */
	assert(node[i].known_end == 0 || node[i].held[(node[i].known_end - 1) % KEYS] >= node[i].known_end);
	assert(node[i].known_end < 2 || node[i].held[(node[i].known_end - 2) % KEYS] >= node[i].known_end - 1)
}

active proctype Operator() {
	do
	:: atomic { log_end < WRITES -> log_end++ }
	:: log_end == WRITES -> break
	od
}

/* The log may drop its history once. */
active proctype History() {
	atomic { log_start = log_end }
}

proctype Reader(byte i) {
	byte stated_end, newest_0, previous_end;
end:	do
	/* Reads the newest record of each key, in two pages. */
	:: !node[i].has_snapshot && !refused[i] ->
		atomic { newest_0 = newest(0); stated_end = log_end };
		atomic {
			previous_end = node[i].known_end;
#ifdef LAST_PAGE_END
			stated_end = log_end;
#endif
			if
			:: stated_end >= previous_end ->
				node[i].held[0] = (newest_0 > node[i].held[0] -> newest_0 : node[i].held[0]);
				node[i].held[1] = newest(1);
				node[i].known_end = stated_end
			:: else -> skip
			fi;
			node[i].has_snapshot = true;
			check_complete(i)
		}
	/* Reads the next record. */
	:: atomic { node[i].has_snapshot && !refused[i] && node[i].known_end < log_end && node[i].known_end >= log_start ->
		node[i].held[node[i].known_end % KEYS] = node[i].known_end + 1; node[i].known_end++; check_complete(i) }
	/* The next record was dropped. */
	:: atomic { node[i].has_snapshot && !refused[i] && node[i].known_end < log_start ->
#ifdef SKIP_GAP
		node[i].known_end = log_start; check_complete(i)
#else
		node[i].has_snapshot = false
#endif
		}
#ifndef NO_PEERS
	/* A peer sends its set, which may be delayed. */
	:: atomic { !incoming[i].present && node[1 - i].known_end > node[i].known_end ->
		incoming[i].held[0] = node[1 - i].held[0]; incoming[i].held[1] = node[1 - i].held[1];
		incoming[i].known_end = node[1 - i].known_end; incoming[i].present = true }
	:: atomic { incoming[i].present ->
		previous_end = node[i].known_end;
		if
#ifdef ACCEPT_OLDER_SET
		:: true ->
#else
		:: incoming[i].known_end > node[i].known_end ->
#endif
			node[i].held[0] = incoming[i].held[0]; node[i].held[1] = incoming[i].held[1]; node[i].known_end = incoming[i].known_end
		:: else -> skip
		fi;
		assert(node[i].known_end >= previous_end); /* no_revert */
		check_complete(i);
		incoming[i].present = false }
#endif
	/* One restart loses all state, and the set that is on its way. */
	:: atomic { !node[i].restarted && log_end < WRITES ->
		node[i].restarted = true; node[i].has_snapshot = false; node[i].known_end = 0;
		node[i].held[0] = 0; node[i].held[1] = 0; incoming[i].present = false }
	od
}

/* With fairness, Spin does not check runs that end in a state without enabled
 * steps. This process always has an enabled step, so that such runs are
 * checked as well. */
active proctype AlwaysEnabled() {
	bool toggle;
end:	do :: toggle = !toggle od
}

init {
	atomic {
		if :: refused[1] = true :: skip fi;
		run Reader(0); run Reader(1)
	}
}

#define caught_up (node[0].known_end == WRITES && node[1].known_end == WRITES)
ltl converge { <> [] caught_up }
