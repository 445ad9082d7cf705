/*
 * Configuration through the log: two operators concurrently amend one
 * document. An append may take effect although its answer is lost; the
 * operator may then append the same publication again. Records expire after
 * a refresh, and a follower may restart without its state.
 *
 * Safety: followers that have applied the same prefix of the log agree
 * (same_winner), a version never decreases between two restarts of a follower
 * (no_revert), a publication takes effect at most once (applied_once), and an
 * operator is told "accepted" only if its publication took effect
 * (told_true).
 * Liveness: both followers reach the last accepted version (converge).
 *
 * Seeded faults:
 * -DNO_BASE_CHECK accepts amendments of an old version;
 * -DNO_VERSION_CHECK lets a refresh replace a higher version;
 * -DTRUST_APPEND reports acceptance as soon as the append succeeded;
 * -DEARLY_EXPIRY lets records expire that no refresh repeats.
 *
 * A second copy of a publication is rejected because of its id, and also
 * because of its base version.
 */

#define OPERATORS 2
#define FOLLOWERS 2
#define MAX_LOG 4
#define NONE 255

#ifdef NO_BASE_CHECK
#define IGNORE_BASE true
#else
#define IGNORE_BASE false
#endif
#ifdef EARLY_EXPIRY
#define EXPIRE_EARLY true
#else
#define EXPIRE_EARLY false
#endif
#ifdef NO_VERSION_CHECK
#define IGNORE_VERSION true
#else
#define IGNORE_VERSION false
#endif

/* One record: the id of the publication, the version that it amends, and
 * whether it is a refresh of an accepted document. */
typedef Record { byte id; byte base; byte body; bool refresh }
Record log[MAX_LOG];
byte log_len = 0;
byte log_first = 0; /* records below it have expired */

/* The reference state of the document, which depends on the log alone. */
byte ref_version = 0, ref_body = NONE, last_accepted_id = NONE;
byte applied_count[OPERATORS];
bool ref_seen[OPERATORS];

typedef Follower { byte position; byte version; byte body; byte restarts }
Follower follower[FOLLOWERS];
bool seen[4]; /* FOLLOWERS * OPERATORS */

byte told[OPERATORS]; /* 0 not known to be in the log, 1 accepted, 2 conflict */
bool settled = false; /* operators and refresher have finished; followers do not restart any more */
byte finished = 0;

#define SEEN(i, id) seen[(i) * OPERATORS + (id)]

/* Applies one record to the reference state. */
inline apply_to_reference(id_, base_, body_) {
	if
	:: !ref_seen[id_] ->
		if
		:: (base_ == ref_version) || IGNORE_BASE ->
			ref_version = base_ + 1; ref_body = body_; applied_count[id_]++; last_accepted_id = id_
		:: else -> skip
		fi;
		ref_seen[id_] = true
	:: else -> skip
	fi
}

inline append(id_, base_) {
	log[log_len].id = id_; log[log_len].base = base_; log[log_len].body = id_;
	log[log_len].refresh = false;
	log_len++;
	apply_to_reference(id_, base_, id_)
}

/* An operator amends the version that it read. If the answer to its append
 * is lost, it looks for its record. If it looked too early, or the append
 * did not take effect, it appends the same publication again. */
proctype Operator(byte me) {
	byte base, tries = 0;
	base = ref_version;
	do
	:: tries < 2 ->
		tries++;
		if
		:: atomic { log_len < MAX_LOG - 1 -> append(me, base) }; break /* answered */
		:: atomic { log_len < MAX_LOG - 1 -> append(me, base) } /* took effect, answer lost */
		:: skip /* did not take effect */
		fi
	:: tries > 0 -> break
	od;
	/* Looks up in the log whether its record is there and was accepted. */
#ifdef TRUST_APPEND
	told[me] = 1;
#else
	atomic {
		if
		:: ref_seen[me] && applied_count[me] > 0 -> told[me] = 1
		:: ref_seen[me] && applied_count[me] == 0 -> told[me] = 2
		:: !ref_seen[me] -> skip /* not in the log */
		fi
	}
#endif
	finished++
}

/* Appends the accepted document again near the end of the retention time, and
 * then lets old records expire. Other records may be appended between its read
 * and its append. */
proctype Refresher() {
	byte version, body;
	atomic { version = ref_version; body = ref_body };
	atomic {
		if
		:: version > 0 && log_len < MAX_LOG ->
			log[log_len].id = NONE; log[log_len].base = version; log[log_len].body = body;
			log[log_len].refresh = true;
			log_len++;
			/* Only records before the refresh expire, and only
			 * if the refresh repeats what they set. */
			if
			:: version == ref_version || EXPIRE_EARLY -> log_first = log_len - 1
			:: else -> skip
			fi
		:: else -> skip
		fi
	};
	finished++
}

inline apply(i) {
	if
	:: log[follower[i].position].refresh ->
		if
		:: (log[follower[i].position].base > follower[i].version) || IGNORE_VERSION ->
			assert(IGNORE_VERSION || log[follower[i].position].base >= follower[i].version);
			assert(log[follower[i].position].base >= follower[i].version); /* no_revert */
			follower[i].version = log[follower[i].position].base; follower[i].body = log[follower[i].position].body
		:: else -> skip
		fi
	:: else ->
		if
		:: !SEEN(i, log[follower[i].position].id) ->
			if
			:: (log[follower[i].position].base == follower[i].version) || IGNORE_BASE ->
				assert(log[follower[i].position].base + 1 > follower[i].version); /* no_revert */
				follower[i].version = log[follower[i].position].base + 1; follower[i].body = log[follower[i].position].body
			:: else -> skip
			fi;
			SEEN(i, log[follower[i].position].id) = true
		:: else -> skip
		fi
	fi;
	follower[i].position++;
	if
	:: follower[i].position == log_len -> /* same_winner */
		assert(follower[i].version == ref_version && follower[i].body == ref_body)
	:: else -> skip
	fi
}

active [FOLLOWERS] proctype FollowerProcess() {
	byte i = _pid;
end:	do
	:: atomic { follower[i].position < log_len && follower[i].position >= log_first -> apply(i) }
	:: atomic { follower[i].position < log_first -> follower[i].position = log_first }
	:: atomic { follower[i].restarts == 0 && !settled ->
		follower[i].restarts = 1; follower[i].position = log_first; follower[i].version = 0; follower[i].body = NONE;
		SEEN(i, 0) = false; SEEN(i, 1) = false }
	od
}

active proctype Check() {
	run Operator(0); run Operator(1); run Refresher();
	finished == 3;
	settled = true;
	assert(applied_count[0] <= 1 && applied_count[1] <= 1); /* applied_once */
	assert(told[0] != 1 || applied_count[0] == 1); /* told_true */
	assert(told[1] != 1 || applied_count[1] == 1)
}

#define caught_up (follower[0].position == log_len && follower[1].position == log_len && follower[0].version == ref_version && follower[1].version == ref_version)
ltl converge { [] (settled -> <> [] caught_up) }
