/*
 * The operator's documents at a node of the users' platform: the newest record
 * of each key, read from the log page by page, then record by record, or whole
 * from a peer. The log may refuse one node and may drop its history; a peer's
 * message may be old when it arrives; a node may restart empty.
 *
 * Safety: what a node holds is whole up to the offset that it states (whole), and
 * the offset never goes down within one life of the node (no_revert).
 * Liveness: every node comes to hold the last record (converge).
 *
 * Seeded faults: -DLAST_PAGE_END states the end offset of the last page, which
 * misses what was written between the pages; -DOLD_SET takes a peer's set with a
 * lower offset; -DNO_PEERS asks the log only; -DSKIP_GAP goes on with the oldest
 * kept record after the history was dropped.
 */

#define NODES 2
#define KEYS 2
#define WRITES 2

/* The log: record r has key r % KEYS; the newest of each key is kept. */
byte end_ = 0;
byte first_ = 0;
bool refused[NODES];   /* the log turns the node away for good */

typedef Node {
	byte held[KEYS];   /* 1 + offset of the record held for each key */
	byte end;          /* stated: every record below it was taken in */
	bool looked;       /* has read the newest records */
	bool restarted;
}
Node n[NODES];

typedef Set { byte held[KEYS]; byte end; bool there }
Set mail[NODES];       /* a peer's set on its way to each node */

#define newest(k) ((end_ > 0 && (end_ - 1) % KEYS == k) -> end_ : ((end_ > 1) -> end_ - 1 : 0))

inline check(i) {
	/* whole: no record below the stated end is missing. */
	assert(n[i].end == 0 || n[i].held[(n[i].end - 1) % KEYS] >= n[i].end);
	assert(n[i].end < 2 || n[i].held[(n[i].end - 2) % KEYS] >= n[i].end - 1)
}

active proctype Operator() {
	do
	:: atomic { end_ < WRITES -> end_++ }
	:: end_ == WRITES -> break
	od
}

/* The platform may drop the history once. */
active proctype History() {
	atomic { first_ = end_ }
}

proctype Reader(byte i) {
	byte page, seen0, was;
end:	do
	/* Newest, in two pages. */
	:: !n[i].looked && !refused[i] ->
		atomic { seen0 = newest(0); page = end_ };
		atomic {
			was = n[i].end;
#ifdef LAST_PAGE_END
			page = end_;
#endif
			if
			:: page >= was ->
				n[i].held[0] = (seen0 > n[i].held[0] -> seen0 : n[i].held[0]);
				n[i].held[1] = newest(1);
				n[i].end = page
			:: else -> skip
			fi;
			n[i].looked = true;
			check(i)
		}
	/* The next record. */
	:: atomic { n[i].looked && !refused[i] && n[i].end < end_ && n[i].end >= first_ ->
		n[i].held[n[i].end % KEYS] = n[i].end + 1; n[i].end++; check(i) }
	/* It was dropped. */
	:: atomic { n[i].looked && !refused[i] && n[i].end < first_ ->
#ifdef SKIP_GAP
		n[i].end = first_; check(i)
#else
		n[i].looked = false
#endif
		}
#ifndef NO_PEERS
	/* A peer sends its set; it may wait on the way. */
	:: atomic { !mail[i].there && n[1 - i].end > n[i].end ->
		mail[i].held[0] = n[1 - i].held[0]; mail[i].held[1] = n[1 - i].held[1];
		mail[i].end = n[1 - i].end; mail[i].there = true }
	:: atomic { mail[i].there ->
		was = n[i].end;
		if
#ifdef OLD_SET
		:: true ->
#else
		:: mail[i].end > n[i].end ->
#endif
			n[i].held[0] = mail[i].held[0]; n[i].held[1] = mail[i].held[1]; n[i].end = mail[i].end
		:: else -> skip
		fi;
		assert(n[i].end >= was); /* no_revert */
		check(i);
		mail[i].there = false }
#endif
	/* A restart forgets everything, once, also what was on the way. */
	:: atomic { !n[i].restarted && end_ < WRITES ->
		n[i].restarted = true; n[i].looked = false; n[i].end = 0;
		n[i].held[0] = 0; n[i].held[1] = 0; mail[i].there = false }
	od
}

/* Keeps time going: with fairness, Spin takes a model that stands still for one
 * that has no run. */
active proctype Clock() {
	bool tick;
end:	do :: tick = !tick od
}

init {
	atomic {
		if :: refused[1] = true :: skip fi;
		run Reader(0); run Reader(1)
	}
}

#define caught_up (n[0].end == WRITES && n[1].end == WRITES)
ltl converge { <> [] caught_up }
