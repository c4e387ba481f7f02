package dispatcher

import "time"

// keptAnswer is an ended job whose answer is kept for resubmissions.
type keptAnswer struct {
	job       *job
	expiresAt time.Time
	bytes     int
}

// answerOverhead is the memory of a kept answer besides its results, in bytes.
const answerOverhead = 512

// keepAnswer stores the answer of an ended job until its id expires. The
// payloads of its tasks are dropped.
func (d *Dispatcher) keepAnswer(now time.Time, j *job) {
	size := answerOverhead + len(j.answer.Message)
	for _, r := range j.answer.Results {
		size += len(r)
	}
	j.Job = &Job{
		ID: j.ID, Submitted: j.Submitted, Team: j.Team, Service: j.Service, Home: j.Home, Digest: j.Digest,
	}
	j.groups = nil
	d.keptAnswers = append(d.keptAnswers, keptAnswer{job: j, expiresAt: now.Add(d.config.Limits.JobIDRetention), bytes: size})
	d.keptBytes += size
	for d.keptBytes > d.config.Limits.AnswerBytes && len(d.keptAnswers) > 0 {
		d.evictOldestAnswer()
	}
}

// evictOldestAnswer removes the oldest answer. From then on, an unknown job first
// submitted no later than that one is refused with an unknown outcome, since it
// may have run and been forgotten.
func (d *Dispatcher) evictOldestAnswer() {
	k := d.keptAnswers[0]
	d.keptAnswers[0] = keptAnswer{}
	d.keptAnswers = d.keptAnswers[1:]
	d.keptBytes -= k.bytes
	if k.job.Submitted.After(d.forgottenThrough) {
		d.forgottenThrough = k.job.Submitted
	}
	d.forgetJob(k.job)
}

func (d *Dispatcher) expireKeptAnswers(now time.Time) {
	for len(d.keptAnswers) > 0 && now.After(d.keptAnswers[0].expiresAt) {
		d.evictOldestAnswer()
	}
}
