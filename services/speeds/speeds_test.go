// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"saddlevane/services/speeds"

	"gotest.tools/v3/assert"
)

// fleet is a set of workers that run steps, and the tracker that observes the runs.
type fleet struct {
	*speeds.Tracker
	random *rand.Rand
	now    time.Time
	// speed holds the true speed of each worker.
	speed []float64
	// longShare is the share of runs that take longFactor times as long as others.
	longShare float64
	// estimateFactor is by how much the submitters' estimates are off.
	estimateFactor float64
	// interval is the time between two steps.
	interval time.Duration
}

const (
	longFactor = 7
	// alikeDeviation is the standard deviation of the logarithms of the times of a step's tasks.
	alikeDeviation = 0.25
	// stepInterval is the usual time between two steps.
	stepInterval = 50 * time.Millisecond
)

// newFleet returns workers of which the given share runs at half speed.
func newFleet(seed uint64, workers int, slowShare float64) *fleet {
	f := &fleet{Tracker: speeds.NewTracker(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), estimateFactor: 1, interval: stepInterval}
	for i := range workers {
		f.speed = append(f.speed, 1)
		if float64(i) < slowShare*float64(workers) {
			f.speed[i] = 0.5
		}
	}
	return f
}

func name(i int) string { return fmt.Sprintf("w%d", i) }

// runStep runs a step with tasks on random workers.
func (f *fleet) runStep(tasks int) {
	work := math.Exp(f.random.NormFloat64())
	var runs []speeds.Run
	for range tasks {
		i := f.random.IntN(len(f.speed))
		took := work * math.Exp(alikeDeviation*f.random.NormFloat64()) / f.speed[i]
		if f.random.Float64() < f.longShare {
			took *= longFactor
		}
		runs = append(runs, speeds.Run{Worker: name(i), Took: time.Duration(took * float64(time.Second))})
	}
	f.now = f.now.Add(f.interval)
	f.Observe(f.now, runs, speeds.Work{LogSeconds: math.Log(f.estimateFactor), Variance: 1, Known: true})
}

// runStepOn runs a step with tasks on the given workers.
func (f *fleet) runStepOn(workers ...int) {
	var runs []speeds.Run
	for _, i := range workers {
		took := math.Exp(alikeDeviation*f.random.NormFloat64()) / f.speed[i]
		runs = append(runs, speeds.Run{Worker: name(i), Took: time.Duration(took * float64(time.Second))})
	}
	f.now = f.now.Add(f.interval)
	f.Observe(f.now, runs, speeds.Work{})
}

// observe records a step of which a worker's task took some seconds, and those of others one second.
func (f *fleet) observe(worker string, seconds float64, others ...int) {
	runs := []speeds.Run{{Worker: worker, Took: time.Duration(seconds * float64(time.Second))}}
	for _, i := range others {
		runs = append(runs, speeds.Run{Worker: name(i), Took: time.Second})
	}
	f.now = f.now.Add(f.interval)
	f.Observe(f.now, runs, speeds.Work{})
}

// run runs so many steps that each worker has about the given number of runs.
func (f *fleet) run(runsPerWorker int) {
	const tasks = 4
	for range runsPerWorker * len(f.speed) / tasks {
		f.runStep(tasks)
	}
}

// count returns how many workers with a speed between min and max have a class within the range.
func (f *fleet) count(minSpeed, maxSpeed float64, minClass, maxClass int) (in, all int) {
	for i, speed := range f.speed {
		if speed < minSpeed || speed > maxSpeed {
			continue
		}
		all++
		if c := f.Of(f.now, name(i)).Class(); c >= minClass && c <= maxClass {
			in++
		}
	}
	return in, all
}

// requireShare requires that at least a share of the workers with a speed have a class within the range.
func (f *fleet) requireShare(t *testing.T, share, speed float64, minClass, maxClass int) {
	t.Helper()
	in, all := f.count(speed, speed, minClass, maxClass)
	assert.Check(t, float64(in) >= share*float64(all), "%d of %d workers with speed %v have a class from %d to %d", in, all, speed, minClass, maxClass)
}

func TestQuarterOfWorkersAtHalfSpeed(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 40, 0.25)
		f.run(20)
		f.requireShare(t, 0.9, 0.5, 1, math.MaxInt)
		f.requireShare(t, 0.9, 1, math.MinInt, 0)
		for i, speed := range f.speed {
			// The mean of all workers is at 0.5 to the power of a quarter.
			log := math.Log(speed) - 0.25*math.Log(0.5)
			e := f.Of(f.now, name(i))
			assert.Check(t, math.Abs(e.Log-log) < 5*e.Deviation+0.1, "speed %v estimated as %v", speed, e)
		}
	}
}

func TestWorkersThatBecomeSlowUnderWay(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 40, 0.25)
		f.run(30)
		for i := range f.speed {
			f.speed[i] = 1
			if i >= 30 {
				f.speed[i] = 0.5
			}
		}
		f.run(30)
		f.requireShare(t, 0.9, 0.5, 1, math.MaxInt)
		f.requireShare(t, 0.9, 1, math.MinInt, 0)
	}
}

func TestWorkerWhoseSpeedFallsToATenth(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 20, 0)
		f.run(30)
		f.speed[3] = 0.1
		f.run(8)
		assert.Check(t, f.Of(f.now, name(3)).Class() > 2, "after about 8 runs: %v", f.Of(f.now, name(3)))
		in, all := f.count(1, 1, 0, 0)
		assert.Check(t, in >= all-1, "%d of %d", in, all)
	}
}

func TestAlikeWorkersAreNotToldApart(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 50, 0)
		differ, all := 0, 0
		for range 20 {
			f.run(5)
			in, n := f.count(1, 1, 0, 0)
			differ, all = differ+n-in, all+n
		}
		assert.Check(t, float64(differ) <= 0.01*float64(all), "%d of %d", differ, all)
	}
}

func TestSomeRunsTakeSevenTimesAsLong(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 40, 0.25)
		f.longShare = 0.03
		f.run(30)
		f.requireShare(t, 0.8, 0.5, 1, math.MaxInt)
		f.requireShare(t, 0.9, 1, math.MinInt, 0)
	}
}

func TestSomeTasksTakeSevenTimesAsLongOnEachWorker(t *testing.T) {
	f := newFleet(7, 20, 0)
	for range 400 {
		// The long task runs again elsewhere, and is as long there.
		task := 1.0
		if f.random.Float64() < 0.03 {
			task = longFactor
		}
		var runs []speeds.Run
		for range 3 {
			runs = append(runs, speeds.Run{Worker: name(f.random.IntN(20)), Took: time.Duration(task * float64(time.Second))})
			task = 1
		}
		f.now = f.now.Add(f.interval)
		f.Observe(f.now, runs, speeds.Work{})
	}
	f.requireShare(t, 0.95, 1, 0, 0)
}

func TestEstimatesOffByTenShiftNoWorker(t *testing.T) {
	for _, factor := range []float64{0.1, 10} {
		f := newFleet(5, 20, 0)
		f.estimateFactor = factor
		differ, all := 0, 0
		for range 60 {
			for range 20 {
				f.runStep(1)
			}
			in, n := f.count(1, 1, -1, 1)
			differ, all = differ+n-in, all+n
		}
		assert.Check(t, float64(differ) <= 0.02*float64(all), "%d of %d with estimates off by %v", differ, all, factor)
	}
}

func TestStepWithoutMeasureShowsNoSpeed(t *testing.T) {
	now := time.Unix(1e9, 0)
	tracker := speeds.NewTracker()
	for range 100 {
		tracker.Observe(now, []speeds.Run{{Worker: "a", Took: time.Hour}, {Worker: "a"}}, speeds.Work{})
		tracker.Observe(now, nil, speeds.Work{Variance: 1, Known: true})
	}
	assert.Equal(t, tracker.Summary(now), speeds.Summary{})
	assert.Equal(t, tracker.Of(now, "a").Class(), 0)
}

func TestHolderIsLost(t *testing.T) {
	f := newFleet(3, 40, 0.25)
	f.run(30)
	record, err := json.Marshal(f.Record(f.now))
	assert.NilError(t, err)
	next := speeds.NewTracker()
	assert.NilError(t, next.Restore(f.now, record))
	for i := range f.speed {
		before, after := f.Of(f.now, name(i)), next.Of(f.now, name(i))
		assert.Check(t, math.Abs(before.Log-after.Log) < 0.01, "%v, then %v", before, after)
		assert.Check(t, after.Deviation >= before.Deviation)
	}
	f.Tracker = next
	f.requireShare(t, 0.8, 0.5, 1, math.MaxInt)
	f.requireShare(t, 0.9, 1, math.MinInt, 0)
}

// encodeRecord returns the record in the encoding of the log.
func (f *fleet) encodeRecord(t testing.TB) []byte {
	t.Helper()
	record, err := json.Marshal(f.Record(f.now))
	assert.NilError(t, err)
	return record
}

// untilRecordDue returns how long after a record the next one is due if there is evidence.
func (f *fleet) untilRecordDue() time.Duration {
	f.runStep(4)
	since := time.Duration(0)
	for !f.IsRecordDue(f.now.Add(since)) {
		since += time.Second
	}
	return since + f.interval
}

func TestRecordsTakeLittleOfTheLog(t *testing.T) {
	const maxLogRecord, maxBytesPerSecond = 262_144, 400
	for _, workers := range []int{10, 350, 1100, 6000, 21000} {
		for _, slowShare := range []float64{0, 0.25, 0.75} {
			f := newFleet(1, workers, slowShare)
			f.interval = time.Millisecond
			f.run(4)
			size := len(f.encodeRecord(t))
			due := f.untilRecordDue()
			assert.Check(t, size < maxLogRecord/2, "%d workers: %d bytes", workers, size)
			assert.Check(t, float64(size) <= maxBytesPerSecond*due.Seconds(), "%d workers: %d bytes in %v", workers, size, due)
			assert.Check(t, due < 5*time.Minute, "later, nothing is known any more")
		}
	}
}

func TestRecordOfLongNames(t *testing.T) {
	f := newFleet(1, 0, 0)
	long := strings.Repeat("\u2028", 200)
	for range 20 {
		var runs []speeds.Run
		for i := range 1000 {
			runs = append(runs, speeds.Run{Worker: long + name(i), Took: time.Duration(1+i%3) * time.Second})
		}
		f.Observe(f.now, runs, speeds.Work{})
	}
	assert.Check(t, len(f.encodeRecord(t)) < 262_144/2)
}

func TestRecordIsDueOnlyWithEvidence(t *testing.T) {
	f := newFleet(1, 20, 0)
	assert.Check(t, !f.IsRecordDue(f.now))
	f.run(1)
	assert.Check(t, f.IsRecordDue(f.now))
	f.Record(f.now)
	assert.Check(t, !f.IsRecordDue(f.now.Add(time.Hour)))
	f.run(1)
	assert.Check(t, f.IsRecordDue(f.now.Add(time.Hour)))
	assert.Check(t, f.IsRecordDue(f.now.Add(-time.Hour)), "the clock was set back")
}

func TestNextHolderOfLargeCellKnowsWhichWorkersDiffer(t *testing.T) {
	for _, slowShare := range []float64{0.02, 0.1} {
		f := newFleet(3, 21000, slowShare)
		f.interval = time.Millisecond
		f.run(10)
		record := f.encodeRecord(t)
		slow, all := f.count(0.5, 0.5, 1, math.MaxInt)
		f.Tracker = speeds.NewTracker()
		assert.NilError(t, f.Restore(f.now, record))
		after, _ := f.count(0.5, 0.5, 1, math.MaxInt)
		assert.Check(t, float64(after) > 0.7*float64(slow), "%d of %d, then %d", slow, all, after)
		f.requireShare(t, 0.95, 1, 0, 0)
		// The next holder may be lost as well.
		next := speeds.NewTracker()
		assert.NilError(t, next.Restore(f.now, f.encodeRecord(t)))
		f.Tracker = next
		f.run(3)
		f.requireShare(t, 0.9, 1, 0, 0)
	}
}

func TestFewKnownSlowWorkersAreNotTheUsualOnes(t *testing.T) {
	f := newFleet(3, 300, 0.03)
	f.run(2)
	for range 40 {
		for i := range 9 {
			f.runStepOn(i, 100, 101, 102)
		}
	}
	slow, all := f.count(0.5, 0.5, 1, math.MaxInt)
	assert.Check(t, slow > 6, "%d of %d", slow, all)
	record := f.encodeRecord(t)
	next := speeds.NewTracker()
	assert.NilError(t, next.Restore(f.now, record))
	f.Tracker = next
	after, _ := f.count(0.5, 0.5, 1, math.MaxInt)
	assert.Check(t, after >= slow-1, "%d, then %d", slow, after)
}

func TestUnreadableRecords(t *testing.T) {
	now := time.Unix(1e9, 0)
	for record, want := range map[string]int{
		`{"a":[-500,10],"b":[500,10]}`:                                      2,
		`{"a":[-500,10],"b":[1,2,3],"c":[99999,1],"d":[1,-1],"e":[1,5000]}`: 1,
		`{"a":["x"]}`:                       0,
		`{"":[0,99999999],"a":[1,1]}`:       1,
		`{"":[0,5000],"a":[1,1],"b":[1,1]}`: 2,
		`[`:                                 0,
		``:                                  0,
	} {
		tracker := speeds.NewTracker()
		err := tracker.Restore(now, []byte(record))
		assert.Equal(t, tracker.Summary(now).Known, want, record)
		assert.Equal(t, err == nil, record == `` || want == 2, record)
	}
}

func TestRestartedWorkerKeepsItsSpeedWithLessCertainty(t *testing.T) {
	f := newFleet(3, 40, 0.25)
	f.run(30)
	before := f.Of(f.now, name(0))
	f.Restart(f.now, name(0))
	f.Restart(f.now, "unknown")
	after := f.Of(f.now, name(0))
	assert.Equal(t, before.Log, after.Log)
	assert.Check(t, after.Deviation > before.Deviation)
}

func TestWorkerIsTriedAgainAfterAWhileWithoutRuns(t *testing.T) {
	f := newFleet(3, 40, 0.25)
	f.run(30)
	assert.Check(t, f.Of(f.now, name(0)).Class() > 0)
	later := f.now.Add(11 * time.Second)
	assert.Equal(t, f.Of(later, name(0)).Class(), 0)
	assert.Check(t, f.Of(later, name(0)).Deviation > f.Of(f.now, name(0)).Deviation)
}

func TestLongRunOnRarelyUsedWorkerIsNotCertain(t *testing.T) {
	for seed := range uint64(20) {
		for _, idle := range []time.Duration{0, 11 * time.Second, time.Minute, 4 * time.Minute} {
			f := newFleet(seed, 40, 0)
			f.run(30)
			f.now = f.now.Add(idle)
			// The others are used all the time.
			for range 40 {
				f.runStepOn(1, 2, 3, 4)
			}
			f.observe(name(0), longFactor, 1, 2, 3)
			assert.Equal(t, f.Of(f.now, name(0)).Class(), 0, "seed %d, idle for %v: %v", seed, idle, f.Of(f.now, name(0)))
			f.observe("new", longFactor, 1, 2, 3)
			assert.Equal(t, f.Of(f.now, "new").Class(), 0, "seed %d: %v", seed, f.Of(f.now, "new"))
		}
	}
}

func TestWorkerThatBecameSlowWhileUnused(t *testing.T) {
	f := newFleet(3, 40, 0)
	f.run(30)
	f.now = f.now.Add(11 * time.Second)
	f.run(1)
	for range 2 {
		f.observe("new", longFactor, 1, 2, 3)
		f.observe(name(0), longFactor, 1, 2, 3)
		f.Record(f.now)
	}
	assert.Check(t, f.Of(f.now, name(0)).Class() > 2, "%v", f.Of(f.now, name(0)))
	assert.Check(t, f.Of(f.now, "new").Class() > 2, "%v", f.Of(f.now, "new"))
}

func TestWorkerThatIsNoLongerSlowIsUsualAfterOneRetry(t *testing.T) {
	f := newFleet(3, 40, 0)
	f.speed[0] = 1.0 / 6
	f.run(30)
	assert.Check(t, f.Of(f.now, name(0)).Class() > 2)
	f.now = f.now.Add(11 * time.Second)
	for range 40 {
		f.runStepOn(1, 2, 3, 4)
	}
	f.observe(name(0), 1, 1, 2, 3)
	assert.Equal(t, f.Of(f.now, name(0)).Class(), 0, "%v", f.Of(f.now, name(0)))
}

func TestClockThatJumps(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		f := newFleet(4, 40, 0.25)
		f.run(20)
		f.now = f.now.Add(jump)
		f.run(20)
		f.requireShare(t, 0.9, 0.5, 1, math.MaxInt)
		f.requireShare(t, 0.9, 1, math.MinInt, 0)
	}
}

func TestSameFactsGiveSameSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		var records []string
		for range 2 {
			f := newFleet(seed, 30, 0.3)
			f.longShare = 0.05
			f.run(20)
			record, err := json.Marshal(f.Record(f.now))
			assert.NilError(t, err)
			records = append(records, string(record))
			for i := range f.speed {
				e := f.Of(f.now, name(i))
				assert.Check(t, !math.IsNaN(e.Log) && e.Deviation > 0 && e.Deviation <= 0.5, "%+v", e)
			}
		}
		assert.Equal(t, records[0], records[1])
	}
}

func TestHasteOrdersWorkersBySpeedOnlyWhereItMatters(t *testing.T) {
	f := newFleet(3, 40, 0.25)
	f.run(40)
	slow := f.Of(f.now, name(0))
	assert.Check(t, slow.Class() > 0)
	for _, test := range []struct {
		name  string
		haste speeds.Urgency
		want  int
	}{
		{"short", speeds.Urgency{Work: time.Second, Slack: time.Hour, Urgent: true}, slow.Class()},
		{"on time on the slow worker", speeds.Urgency{Work: time.Second, Slack: 2 * time.Second}, 0},
		{"late on the slow worker", speeds.Urgency{Work: 10 * time.Second, Slack: time.Second}, slow.Class()},
		{"late anywhere", speeds.Urgency{Work: time.Second, Slack: -time.Second}, slow.Class()},
	} {
		assert.Equal(t, test.haste.SpeedClass(slow), test.want, test.name)
		assert.Equal(t, test.haste.SpeedClass(speeds.Estimate{}), 0, test.name)
	}
	fleet := newFleet(3, 40, 0.75)
	fleet.run(40)
	fast := fleet.Of(fleet.now, name(39))
	assert.Check(t, fast.Class() < 0)
	assert.Equal(t, speeds.Urgency{Work: time.Second, Slack: time.Hour}.SpeedClass(fast), fast.Class())
	assert.Check(t, slow.SuitsGang())
	assert.Check(t, slow.TimeFor(time.Second) > 1200*time.Millisecond)
	assert.Check(t, slow.WorkOf(slow.TimeFor(time.Second))-time.Second < time.Millisecond)
}

func TestGangIsNoRetryOfVerySlowWorker(t *testing.T) {
	f := newFleet(3, 40, 0)
	f.speed[0] = 0.1
	f.run(40)
	assert.Check(t, !f.Of(f.now, name(0)).SuitsGang())
	later := f.now.Add(11 * time.Second)
	assert.Equal(t, f.Of(later, name(0)).Class(), 0, "other tasks try it again")
	assert.Check(t, !f.Of(later, name(0)).SuitsGang())
	assert.Check(t, f.Of(f.now.Add(time.Hour), name(0)).SuitsGang(), "nothing is known any more")
	assert.Check(t, f.Of(f.now, "unknown").SuitsGang())
}

func TestGangShowsSpeedsOnlyByDifferentProgress(t *testing.T) {
	member := func(worker string, ran time.Duration, done float64) speeds.Member {
		return speeds.Member{Worker: worker, Ran: ran, Done: done}
	}
	for _, test := range []struct {
		name    string
		members []speeds.Member
		want    []speeds.Run
	}{
		{"none", nil, nil},
		{"single", []speeds.Member{member("a", time.Second, 0.5)}, nil},
		{"equal progress", []speeds.Member{member("a", time.Second, 0.5), member("b", 1020*time.Millisecond, 0.5)}, nil},
		{"no progress", []speeds.Member{member("a", time.Second, 0.5), member("b", time.Second, 0)}, nil},
		{
			"half as far",
			[]speeds.Member{member("a", time.Second, 0.5), member("b", time.Second, 0.25)},
			[]speeds.Run{{Worker: "a", Took: 2 * time.Second}, {Worker: "b", Took: 4 * time.Second}},
		},
	} {
		assert.DeepEqual(t, speeds.RunsOfGang(test.members), test.want)
	}
}

func TestGangWorksOnlyOnceAllMembersHaveStarted(t *testing.T) {
	began := time.Unix(1e9, 0)
	member := func(worker string, started, reported time.Duration, done float64) speeds.Member {
		return speeds.Member{Worker: worker, StartedAt: began.Add(started), Ran: reported - started, Done: done}
	}
	const skew = 200 * time.Millisecond
	for _, test := range []struct {
		name    string
		members []speeds.Member
		want    []speeds.Run
	}{
		{"alike", []speeds.Member{member("ended", skew, skew, 0), member("early", 0, 1700*time.Millisecond, 0.5), member("late", skew, 1700*time.Millisecond, 0.5)}, nil},
		{"last one ended", []speeds.Member{member("ended", skew, skew, 0), member("a", 0, 1700*time.Millisecond, 0.5), member("b", skew/2, 1700*time.Millisecond, 0.5)}, nil},
		{"reported before all had started", []speeds.Member{member("late", skew, time.Second+skew, 0.5), member("early", 0, skew/2, 0.2)}, nil},
		{
			"half as far",
			[]speeds.Member{member("early", 0, time.Second+skew, 0.25), member("late", skew, time.Second+skew, 0.5)},
			[]speeds.Run{{Worker: "early", Took: 4 * time.Second}, {Worker: "late", Took: 2 * time.Second}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, speeds.RunsOfGang(test.members), test.want)
			assert.Equal(t, speeds.WorkOfGang(began.Add(3*time.Second+skew), test.members), 3*time.Second)
		})
	}
}

func TestGangClassPrefersLikeWorkers(t *testing.T) {
	// The gang needs workers of class 1: these come first, then faster ones, and slower ones last.
	assert.Check(t, speeds.GangClass(1, 1) < speeds.GangClass(0, 1))
	assert.Check(t, speeds.GangClass(0, 1) < speeds.GangClass(-4, 1))
	assert.Check(t, speeds.GangClass(-4, 1) < speeds.GangClass(2, 1))
	assert.Check(t, speeds.GangClass(2, 1) < speeds.GangClass(5, 1))
}

func TestSlowestOfChosenWorkers(t *testing.T) {
	self := func(class int) int { return class }
	for _, test := range []struct {
		chosen  []int
		slowest int
		mixed   bool
	}{
		{nil, 0, false}, {[]int{-2}, -2, false}, {[]int{-2, -2}, -2, false}, {[]int{-2, 0}, 0, true}, {[]int{1, -2}, 1, true},
	} {
		slowest, mixed := speeds.SlowestClass(test.chosen, self)
		assert.Equal(t, slowest, test.slowest)
		assert.Equal(t, mixed, test.mixed)
	}
}

func TestMajorityThatIsSlowerThanTheMeanIsUsual(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 40, 0.75)
		f.run(30)
		f.requireShare(t, 0.9, 0.5, 0, 0)
		f.requireShare(t, 0.9, 1, math.MinInt, -1)
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(1, workers, 0.25)
			f.run(2)
			for b.Loop() {
				f.runStep(4)
			}
		})
	}
}

func BenchmarkRecord(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000, 21000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(1, workers, 0.25)
			f.interval = time.Millisecond
			f.run(10)
			size := 0
			for b.Loop() {
				size = len(f.encodeRecord(b))
			}
			b.ReportMetric(float64(size), "bytes/record")
			b.ReportMetric(float64(size)/f.untilRecordDue().Seconds(), "bytes/s")
		})
	}
}

func BenchmarkOf(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(1, workers, 0.25)
			f.run(2)
			for b.Loop() {
				f.Of(f.now, "w7")
			}
		})
	}
}
