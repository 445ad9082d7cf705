/*
 * At most once: the records of one request id at the three members of its
 * quorum group, two entry nodes to which the caller sends the request, and one
 * target for each round. Each entry node has one call, so it is one holder,
 * and each of its attempts has one round of voting. Entry node 0 is behind in
 * the log and has up to two rounds; entry node 1 has one. By symmetry only
 * member 0 restarts. Messages may be lost, delayed and duplicated; answers may
 * be lost; a member may restart and lose its records. The composition may
 * change from epoch 0 to epoch 1, after a majority was sealed, at a time T
 * that is before or after the time of the id.
 *
 * Members step through charts/request_record.yaml.
 *
 * Safety: the request runs at most once (runs), and an entry node that tells
 * its caller "not run" has not handed the request over (told_not_run).
 * Liveness: every entry node finishes (answered). spec/check runs only the
 * safety check of this model.
 *
 * Seeded faults:
 * -DMAJORITY=1 lets one vote decide;
 * -DNO_SEAL lets a sealed member vote;
 * -DVOTE_WITHOUT_RECORDS lets a restarted member vote without its records;
 * -DSILENCE_IS_REFUSAL treats a missing answer as "not run";
 * -DSEAL_IGNORES_VOTES lets a member seal at a time before an id that it
 *   accepted;
 * -DRESTARTED_SEALS counts the seal of a member that lost its records;
 * -DRELEASE_AFTER_HANDOFF releases the claim although the outcome is unknown.
 */

#define MEMBERS 3
#define EPOCHS 2
#define ENTRY_NODES 2
#define ROUNDS 2
#ifndef MAJORITY
#define MAJORITY 2
#endif

#define YES 1
#define NO 2

/* Records, one for each member of each epoch. */
byte state[6], holder[6], round[6];
bool restarted[6];
bool sealed[3]; /* members of epoch 0 */
bool id_after_seal[3]; /* the member refuses the id: its time is at or after the seal time */
bool composed = false; /* epoch 1 is in the log */
bool id_in_epoch_1 = false; /* the id's time is T or later, so it belongs to epoch 1 */

/* A sent claim may arrive any number of times; each vote counts once. */
bool sent[8]; /* ENTRY_NODES * ROUNDS * EPOCHS */
bool voted_yes[24]; /* ENTRY_NODES * ROUNDS * EPOCHS * MEMBERS */
bool released[4]; /* ENTRY_NODES * EPOCHS */
byte restarts = 0;

byte runs = 0;
byte handoffs[ENTRY_NODES];
bool told_not_run[ENTRY_NODES];
byte finished = 0;

#define RECORD(e, m) ((e) * MEMBERS + (m))
#define REQUEST(entry_node, claim_round, e) (((entry_node) * ROUNDS + (claim_round)) * EPOCHS + (e))
#define VOTE(entry_node, claim_round, e, m) (REQUEST(entry_node, claim_round, e) * MEMBERS + (m))

byte step_record, step_holder, step_round, vote; /* arguments of the chart step; used inside atomic steps only */
#define request_record_g_same_holder (holder[step_record] == step_holder)
#define request_record_g_later_round (step_round > round[step_record])
#define request_record_g_same_round (step_round == round[step_record])
#define request_record_a_accept holder[step_record] = step_holder; round[step_record] = step_round; vote = YES
#define request_record_a_confirm vote = YES
#define request_record_a_refuse vote = NO
#define request_record_a_replay vote = NO
#define request_record_a_store_answer skip
#define request_record_a_mark_released holder[step_record] = step_holder; round[step_record] = step_round
#include "gen/request_record.pml"

/* Decides whether a member may vote on the id. */
inline may_vote(e, m, allowed) {
	allowed = true;
	if
#ifndef VOTE_WITHOUT_RECORDS
	:: restarted[RECORD(e, m)] -> allowed = false
#endif
#ifndef NO_SEAL
	:: e == 0 && sealed[m] && id_after_seal[m] -> allowed = false
#endif
	:: e == 1 && !(composed && id_in_epoch_1) -> allowed = false
	:: else -> skip
	fi
}

inline deliver_claim(entry_node, claim_round, e, m) {
	may_vote(e, m, allowed);
	if
	:: allowed ->
		step_record = RECORD(e, m); step_holder = entry_node; step_round = claim_round; vote = NO;
		request_record_step(state[step_record], request_record_e_claim);
		if
		:: vote == YES -> voted_yes[VOTE(entry_node, claim_round, e, m)] = true
		:: else -> skip
		fi
	:: else -> skip
	fi;
	allowed = false; step_record = 0; step_holder = 0; step_round = 0; vote = 0
}

inline deliver_release(entry_node, e, m) {
	step_record = RECORD(e, m); step_holder = entry_node; step_round = ROUNDS - 1;
	request_record_step(state[step_record], request_record_e_release);
	step_record = 0; step_holder = 0; step_round = 0
}

/* The link to one member. It delivers claims and releases at any time and
 * any number of times. */
proctype Link(byte e; byte m) {
	bool allowed;
end:	do
	:: d_step { sent[REQUEST(0, 0, e)] && !voted_yes[VOTE(0, 0, e, m)] -> deliver_claim(0, 0, e, m) }
	:: d_step { sent[REQUEST(0, 1, e)] && !voted_yes[VOTE(0, 1, e, m)] -> deliver_claim(0, 1, e, m) }
	:: d_step { sent[REQUEST(1, 0, e)] && !voted_yes[VOTE(1, 0, e, m)] -> deliver_claim(1, 0, e, m) }
	:: d_step { released[e] && !restarted[RECORD(e, m)] -> deliver_release(0, e, m) }
	:: d_step { released[EPOCHS + e] && !restarted[RECORD(e, m)] -> deliver_release(1, e, m) }
	od
}

/* Member 0 may restart and lose its records. */
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

/* A member seals at any time that is after every id it accepted. */
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
		:: id_after_seal[m] = false
#ifdef SEAL_IGNORES_VOTES
		:: id_after_seal[m] = true
#else
		:: state[m] == request_record_s_unclaimed -> id_after_seal[m] = true
#endif
		fi
	}
}

inline seal_both(a, b) {
	seal(a);
	seal(b);
	/* T, where epoch 1 starts, is the later of the two seal times. */
	atomic { id_in_epoch_1 = id_after_seal[a] && id_after_seal[b]; composed = true }
}

/* Seals a majority of epoch 0 and appends the composition of epoch 1. */
active proctype Composer() {
	if
	:: true -> seal_both(0, 1)
	:: true -> seal_both(1, 2)
	:: skip
	fi;
stop:	skip
}

#define YES_VOTES(entry_node, claim_round, e) (voted_yes[VOTE(entry_node, claim_round, e, 0)] + voted_yes[VOTE(entry_node, claim_round, e, 1)] + voted_yes[VOTE(entry_node, claim_round, e, 2)])

/* An entry node: it claims the request, hands it over once it has a
 * majority, starts another round after a certain "not run", and may give up
 * at any time before the handoff. */
proctype Entry(byte me) {
	byte claim_round = 0, e = 0;
	/* A node that is up to date with the log asks epoch 1 about an id of
	 * epoch 1. */
	if
	:: atomic { me == 1 && composed && id_in_epoch_1 -> e = 1 }
	:: skip
	fi;
claim:	sent[REQUEST(me, claim_round, e)] = true;
	if
	:: YES_VOTES(me, claim_round, e) >= MAJORITY -> goto handoff
	:: atomic { released[me * EPOCHS + e] = true; told_not_run[me] = true }; goto finish
	fi;
handoff:
	if
	:: atomic { handoffs[me]++; runs++ };
		if
		:: skip /* the answer arrives */
#ifdef SILENCE_IS_REFUSAL
		:: claim_round + 1 < ROUNDS && me == 0 -> claim_round++; goto claim
#endif
#ifdef RELEASE_AFTER_HANDOFF
		:: released[me * EPOCHS + e] = true
#endif
		fi
	:: skip; /* the target refuses the request and remembers that */
		if
		:: claim_round + 1 < ROUNDS && me == 0 -> claim_round++; goto claim
		:: atomic { claim_round + 1 == ROUNDS || me == 1 -> released[me * EPOCHS + e] = true; told_not_run[me] = true }
		fi
	fi;
finish:	finished++
}

active proctype Check() {
end:	do
	:: atomic { runs > 1 -> assert(false) }
	:: atomic { (told_not_run[0] && handoffs[0] > 0) || (told_not_run[1] && handoffs[1] > 0) -> assert(false) }
	od
}

ltl answered { <> (finished == ENTRY_NODES) }
