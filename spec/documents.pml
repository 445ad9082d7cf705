/*
 * The operator's documents at a mesh node: the newest record of each key,
 * read from the log page by page and then record by record, or received from
 * a peer as a whole set. The log may refuse one node and may drop its
 * history; it may be restored from a backup, which begins a new era in which
 * the operator writes again; a peer's set may be outdated when it arrives; a
 * node may restart without its state.
 *
 * Safety: a node holds every record below the position that it states, or a
 * newer one of the same key (complete); between two restarts of the node this
 * position never goes back, and no held record is replaced by an older one
 * (no_revert).
 * Liveness: every node eventually holds the last record (converge).
 *
 * Seeded faults:
 * -DLAST_PAGE_END states the end offset of the last page, although records
 *   written between the pages are missing;
 * -DACCEPT_OLDER_SET accepts a peer's set with a lower offset;
 * -DNO_PEERS reads from the log only;
 * -DSKIP_GAP continues with the oldest kept record after the history was
 *   dropped;
 * -DNO_ERA compares offsets of different eras;
 * -DTRUST_BACKUP replaces held records by older ones of a restored log.
 */

#define NODES 2
#define KEYS 2
#define WRITES 2

/* The log: record r has the key r % KEYS. The newest record of each key is
 * kept. */
byte log_end = 0;
byte log_start = 0;
bit log_era = 0;
byte backup_end; /* offset from which on the log of era 1 has new records */
bool log_settled; /* the log will not fail any more */
bool refused[NODES]; /* the log permanently refuses the node */

typedef Node {
	byte held[KEYS]; /* id of the record held for each key */
	byte known_end; /* offset that the node states: it holds every record below it */
	bit era; /* era of known_end */
	bool has_snapshot; /* has read the newest record of each key */
	bool restarted;
}
Node node[NODES];

typedef Set { byte held[KEYS]; byte known_end; bit era; bool present }
Set incoming[NODES]; /* a peer's set on its way to each node */

/* The id of the record at an offset: greater for a newer record, also if the
 * offset was given out again. */
#define id(record_era, offset) (1 + offset + ((record_era == 1 && offset >= backup_end) -> WRITES : 0))
#define newest(k) ((log_end > 0 && (log_end - 1) % KEYS == k) -> id(log_era, log_end - 1) : ((log_end > 1) -> id(log_era, log_end - 2) : 0))
#define newer(a, b) ((a) > (b) -> (a) : (b))
#ifdef NO_ERA
#define before(era_a, end_a, era_b, end_b) (end_a < end_b)
#define in_era(i) true
#else
#define before(era_a, end_a, era_b, end_b) (era_a < era_b || (era_a == era_b && end_a < end_b))
#define in_era(i) (node[i].era == log_era)
#endif

inline check_complete(i) {
	/* complete: no record below the stated position is missing. */
	assert(node[i].known_end == 0 || node[i].held[(node[i].known_end - 1) % KEYS] >= id(node[i].era, node[i].known_end - 1));
	assert(node[i].known_end < 2 || node[i].held[(node[i].known_end - 2) % KEYS] >= id(node[i].era, node[i].known_end - 2))
}

inline save_previous(i) {
	previous_end = node[i].known_end; previous_era = node[i].era;
	previous_0 = node[i].held[0]; previous_1 = node[i].held[1]
}

inline check_no_revert(i) {
	assert(node[i].era > previous_era || (node[i].era == previous_era && node[i].known_end >= previous_end));
	assert(node[i].held[0] >= previous_0 && node[i].held[1] >= previous_1);
	previous_era = 0; previous_end = 0; previous_0 = 0; previous_1 = 0
}

active proctype Operator() {
	do
	:: atomic { log_end < WRITES -> log_end++ }
	:: log_end == WRITES && log_settled -> break
	od
}

/* Once, the log may drop its history, or be restored from a backup. */
active proctype LogFault() {
	if
	:: atomic { log_start = log_end; log_settled = true }
	:: atomic { log_end > 0 ->
		if :: backup_end = 0 :: backup_end = log_end - 1 fi;
		log_era = 1; log_end = backup_end; log_settled = true }
	fi
}

proctype Reader(byte i) {
	byte stated_end, newest_0, previous_end, previous_0, previous_1;
	bit stated_era, previous_era;
end:	do
	/* Reads the newest record of each key, in two pages. */
	:: !node[i].has_snapshot && !refused[i] ->
		atomic { newest_0 = newest(0); stated_end = log_end; stated_era = log_era };
		atomic {
			save_previous(i);
#ifdef LAST_PAGE_END
			stated_end = log_end;
#endif
			if
			:: stated_era == log_era && !before(stated_era, stated_end, previous_era, previous_end) ->
#ifdef TRUST_BACKUP
				node[i].held[0] = newest_0; node[i].held[1] = newest(1);
#else
				node[i].held[0] = newer(newest_0, node[i].held[0]); node[i].held[1] = newer(newest(1), node[i].held[1]);
#endif
				node[i].known_end = stated_end; node[i].era = stated_era
			:: else -> skip
			fi;
			node[i].has_snapshot = (stated_era == log_era);
			stated_era = 0; stated_end = 0; newest_0 = 0;
			check_no_revert(i);
			check_complete(i)
		}
	/* Reads the next record. */
	:: atomic { node[i].has_snapshot && !refused[i] && in_era(i) && node[i].known_end < log_end && node[i].known_end >= log_start ->
		node[i].held[node[i].known_end % KEYS] = newer(id(log_era, node[i].known_end), node[i].held[node[i].known_end % KEYS]);
		node[i].known_end++; check_complete(i) }
	/* The next record was dropped, or the log was restored. */
	:: atomic { node[i].has_snapshot && !refused[i] && (node[i].known_end < log_start || !in_era(i)) ->
#ifdef SKIP_GAP
		node[i].known_end = log_start; check_complete(i)
#else
		node[i].has_snapshot = false
#endif
		}
#ifndef NO_PEERS
	/* A peer sends its set, which may be delayed. */
	:: atomic { !incoming[i].present && before(node[i].era, node[i].known_end, node[1 - i].era, node[1 - i].known_end) ->
		incoming[i].held[0] = node[1 - i].held[0]; incoming[i].held[1] = node[1 - i].held[1];
		incoming[i].known_end = node[1 - i].known_end; incoming[i].era = node[1 - i].era; incoming[i].present = true }
	:: atomic { incoming[i].present ->
		save_previous(i);
		if
#ifdef ACCEPT_OLDER_SET
		:: true ->
#else
		:: before(node[i].era, node[i].known_end, incoming[i].era, incoming[i].known_end) ->
#endif
			node[i].held[0] = newer(incoming[i].held[0], node[i].held[0]); node[i].held[1] = newer(incoming[i].held[1], node[i].held[1]);
			node[i].known_end = incoming[i].known_end; node[i].era = incoming[i].era
		:: else -> skip
		fi;
		check_no_revert(i);
		check_complete(i);
		incoming[i].present = false; incoming[i].held[0] = 0; incoming[i].held[1] = 0;
		incoming[i].known_end = 0; incoming[i].era = 0 }
#endif
	/* One restart loses all state, and the set that is on its way. */
	:: atomic { !node[i].restarted && log_end < WRITES ->
		node[i].restarted = true; node[i].has_snapshot = false; node[i].known_end = 0; node[i].era = 0;
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

#define caught_up (node[0].known_end == WRITES && node[1].known_end == WRITES && node[0].era == log_era && node[1].era == log_era)
ltl converge { <> [] caught_up }
