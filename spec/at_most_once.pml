/*
 * At most once: the records of one request id at the three members of its
 * quorum group, two entry nodes to which the caller sends the request, one
 * target a round. Entry node 0 lags in the log and has two rounds; entry node
 * 1 has one. By symmetry only member 0 restarts. Messages may be lost, delayed
 * and repeated; answers may be lost; a member may restart and lose its memory;
 * the composition may change from epoch 0 to epoch 1 by a seal of a majority at
 * a time that lies before or after the id's own time.
 *
 * Members step through charts/request_record.yaml.
 *
 * Safety: the request runs at most once (runs), and an entry node that tells
 * its caller "not run" never handed the request over (told_not_run).
 * Liveness: every entry node comes to an answer (answered).
 *
 * Seeded faults: -DMAJORITY=1 lets one vote decide, -DNO_SEAL lets a sealed
 * member vote, -DKEEP_VOTING lets a restarted member vote without its memory,
 * -DMOVE_ON_SILENCE takes a missing answer as "not run", -DSEAL_IGNORES_VOTES
 * lets a member seal at a time before an id that it accepted,
 * -DRESTARTED_SEALS counts the seal of a member that lost its memory, -DRELEASE_AFTER_HANDOFF gives the claim up although the outcome is unknown.
 */

#define M 3
#define EPOCHS 2
#define HOLDERS 2
#define ROUNDS 2
#ifndef MAJORITY
#define MAJORITY 2
#endif

#define YES 1
#define NO 2

/* Records, one for each member of each epoch. */
byte state[6], holder[6], round[6];
bool restarted[6];
bool sealed[3];               /* members of epoch 0 */
bool seal_covers[3];          /* the id's time is at or after the member's seal */
bool composed = false;        /* epoch 1 is in the log */
bool id_is_later = false;     /* the id's time is at or after T */

/* A claim that was sent may arrive any number of times; a vote counts once. */
bool sent[8];                 /* HOLDERS * ROUNDS * EPOCHS */
bool voted_yes[24];           /* HOLDERS * ROUNDS * EPOCHS * M */
bool released[4];             /* HOLDERS * EPOCHS */
byte restarts = 0;

byte runs = 0;
byte handed[HOLDERS];
bool told_not_run[HOLDERS];
byte done = 0;

#define MEMBER(e, m) ((e) * M + (m))
#define ASK(h, r, e) (((h) * ROUNDS + (r)) * EPOCHS + (e))
#define CLAIM(h, r, e, m) (ASK(h, r, e) * M + (m))

byte x, h, r, vote;           /* used inside atomic steps only */
#define request_record_g_same_holder (holder[x] == h)
#define request_record_g_later_round (r > round[x])
#define request_record_g_same_round (r == round[x])
#define request_record_a_accept holder[x] = h; round[x] = r; vote = YES
#define request_record_a_confirm vote = YES
#define request_record_a_refuse vote = NO
#define request_record_a_replay vote = NO
#define request_record_a_store_answer skip
#define request_record_a_mark_released holder[x] = h; round[x] = r
#include "gen/request_record.pml"

/* Whether a member may vote on the id at all. */
inline may_vote(e, m, ok) {
	ok = true;
	if
#ifndef KEEP_VOTING
	:: restarted[MEMBER(e, m)] -> ok = false
#endif
#ifndef NO_SEAL
	:: e == 0 && sealed[m] && seal_covers[m] -> ok = false
#endif
	:: e == 1 && !(composed && id_is_later) -> ok = false
	:: else -> skip
	fi
}

inline deliver_claim(hh, rr, e, m) {
	may_vote(e, m, ok);
	if
	:: ok ->
		x = MEMBER(e, m); h = hh; r = rr; vote = NO;
		request_record_step(state[x], request_record_e_claim);
		if
		:: vote == YES -> voted_yes[CLAIM(hh, rr, e, m)] = true
		:: else -> skip
		fi
	:: else -> skip
	fi;
	ok = false; x = 0; h = 0; r = 0; vote = 0
}

inline deliver_release(hh, e, m) {
	x = MEMBER(e, m); h = hh; r = ROUNDS - 1;
	request_record_step(state[x], request_record_e_release);
	x = 0; h = 0; r = 0
}

/* The link to one member delivers claims and releases at any time and any
 * number of times. */
proctype Link(byte e; byte m) {
	bool ok;
end:	do
	:: d_step { sent[ASK(0, 0, e)] && !voted_yes[CLAIM(0, 0, e, m)] -> deliver_claim(0, 0, e, m) }
	:: d_step { sent[ASK(0, 1, e)] && !voted_yes[CLAIM(0, 1, e, m)] -> deliver_claim(0, 1, e, m) }
	:: d_step { sent[ASK(1, 0, e)] && !voted_yes[CLAIM(1, 0, e, m)] -> deliver_claim(1, 0, e, m) }
	:: d_step { released[e] && !restarted[MEMBER(e, m)] -> deliver_release(0, e, m) }
	:: d_step { released[EPOCHS + e] && !restarted[MEMBER(e, m)] -> deliver_release(1, e, m) }
	od
}

/* A member restarts and loses its records. */
active proctype Restart() {
	if
	:: atomic { restarted[0] = true; state[0] = request_record_s_unclaimed; holder[0] = 0; round[0] = 0 }
	:: skip
	fi
}

init {
	atomic {
		run Link(0, 0); run Link(0, 1); run Link(0, 2);
		run Link(1, 0); run Link(1, 1); run Link(1, 2);
		run Entry(0); run Entry(1)
	}
}

/* A member seals at a time of its choice, but after every id it accepted. */
inline seal(m) {
	atomic {
#ifndef RESTARTED_SEALS
		if
		:: restarted[m] -> goto stop
		:: else -> skip
		fi;
#endif
		sealed[m] = true;
		if
		:: seal_covers[m] = false
#ifdef SEAL_IGNORES_VOTES
		:: seal_covers[m] = true
#else
		:: state[m] == request_record_s_unclaimed -> seal_covers[m] = true
#endif
		fi
	}
}

inline seal_both(a, b) {
	seal(a);
	seal(b);
	/* T is the later of the two times. */
	atomic { id_is_later = seal_covers[a] && seal_covers[b]; composed = true }
}

/* Seals a majority of epoch 0 and composes epoch 1. */
active proctype Composer() {
	if
	:: true -> seal_both(0, 1)
	:: true -> seal_both(1, 2)
	:: skip
	fi;
stop:	skip
}

#define VOTES(hh, rr, e) (voted_yes[CLAIM(hh, rr, e, 0)] + voted_yes[CLAIM(hh, rr, e, 1)] + voted_yes[CLAIM(hh, rr, e, 2)])

/* An entry node: claims, hands over on a majority, moves on after a certain
 * "not run", gives up at any time before the handoff. */
proctype Entry(byte me) {
	byte rr = 0, e = 0;
	/* A node that follows the log asks epoch 1 for a later id. */
	if
	:: atomic { me == 1 && composed && id_is_later -> e = 1 }
	:: skip
	fi;
claim:	sent[ASK(me, rr, e)] = true;
	if
	:: VOTES(me, rr, e) >= MAJORITY -> goto handoff
	:: atomic { released[me * EPOCHS + e] = true; told_not_run[me] = true }; goto finish
	fi;
handoff:
	if
	:: atomic { handed[me]++; runs++ };
		if
		:: skip                     /* the answer arrives */
#ifdef MOVE_ON_SILENCE
		:: rr + 1 < ROUNDS && me == 0 -> rr++; goto claim
#endif
#ifdef RELEASE_AFTER_HANDOFF
		:: released[me * EPOCHS + e] = true
#endif
		fi
	:: skip;                            /* the target says "not run" and remembers it */
		if
		:: rr + 1 < ROUNDS && me == 0 -> rr++; goto claim
		:: atomic { rr + 1 == ROUNDS || me == 1 -> released[me * EPOCHS + e] = true; told_not_run[me] = true }
		fi
	fi;
finish:	done++
}

active proctype Check() {
end:	do
	:: atomic { runs > 1 -> assert(false) }
	:: atomic { (told_not_run[0] && handed[0] > 0) || (told_not_run[1] && handed[1] > 0) -> assert(false) }
	od
}

ltl answered { <> (done == HOLDERS) }
