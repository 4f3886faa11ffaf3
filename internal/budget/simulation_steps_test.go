package budget

import (
	"errors"
	"slices"
	"time"
)

// chooseFrom returns a random element, and false if the list is empty.
func chooseFrom[T any](s *sim, list []T) (T, bool) {
	var zero T
	if len(list) == 0 {
		return zero, false
	}
	return list[s.choose(len(list))], true
}

// step performs one random action.
func (s *sim) step() {
	r, _ := chooseFrom(s, s.routers)
	a, _ := chooseFrom(s, s.agents)
	holder, haveHolder := chooseFrom(s, s.holders)
	id, _ := chooseFrom(s, []ID{budgetA, budgetB})
	switch n := s.choose(100); {
	case n < 1:
		s.topUp(id, Tokens(1+s.choose(150)))
	case n < 16:
		s.dispatch(r, id, Tokens(1+s.choose(60)))
	case n < 24:
		s.finishAttempt(a, s.choose(160))
	case n < 42:
		s.exchange(r)
	case n < 64:
		for range 3 {
			if len(s.messages) > 0 {
				s.deliver(s.choose(len(s.messages)), s.choose(12) == 0)
			}
		}
	case n < 66:
		s.abandonExchange(r)
	case n < 71:
		s.resolveRequests(r, s.choose(4) == 0)
	case n < 81 && haveHolder:
		s.flush(holder, s.choose(8))
	case n < 83 && haveHolder:
		s.resolveFlush(holder)
	case n < 87:
		s.now = s.now.Add(time.Duration(1+s.choose(40)) * []time.Duration{time.Second, 30 * time.Millisecond}[s.choose(2)])
	case n < 88 || !r.alive && s.choose(20) == 0:
		s.restartRouter(r)
	case n < 89:
		s.restartAgent(a)
	case n < 91 && (s.currentHolder(r.region) == nil || s.choose(3) == 0):
		s.takeOver(r)
	case n < 94 && haveHolder:
		s.recover(holder, s.choose(3) == 0)
	case n < 96 && haveHolder:
		s.requestReturns(holder)
	case n < 97 && haveHolder && holder.core.Seal() == nil:
		s.flush(holder, 3+s.choose(2))
	case n < 98:
		s.sendAcks(r)
		s.handOver(r.region)
	default:
		s.toggleLink()
	}
	s.now = s.now.Add(time.Microsecond)
	if s.err == nil {
		s.checkInvariants()
	}
}

// toggleLink takes the link between two nodes down, or brings all links up.
func (s *sim) toggleLink() {
	link := [2]string{s.nodes[s.choose(len(s.nodes))], s.nodes[s.choose(len(s.nodes))]}
	if s.down[link] || len(s.down) > 4 {
		clear(s.down)
		return
	}
	s.down[link] = true
}

// restartRouter stops a router that runs, and starts it again in half of the cases.
// It starts a router that does not run.
func (s *sim) restartRouter(r *simulatedRouter) {
	if !r.alive || s.choose(2) == 0 {
		s.stopRouter(r)
		s.startRouter(r)
		return
	}
	s.stopRouter(r)
}

// restartAgent stops an agent and, in two of three cases, starts it again.
func (s *sim) restartAgent(a *simulatedAgent) {
	s.stopAgent(a)
	if s.choose(3) > 0 {
		s.startAgent(a)
	}
}

// dispatch reserves an amount for a request and sends an attempt to an agent of the
// region.
func (s *sim) dispatch(r *simulatedRouter, id ID, amount Tokens) {
	var candidates []*simulatedAgent
	for _, a := range s.agents {
		if a.region == r.region && a.alive {
			candidates = append(candidates, a)
		}
	}
	a, ok := chooseFrom(s, candidates)
	if !ok || !r.alive || !s.linked(r.name, a.name) {
		return
	}
	if _, known := r.sessions[a.incarnation]; !known {
		r.sessions[a.incarnation] = s.now
	}
	reservation, shortfall, ok := r.wallet.Reserve(s.now, id, amount)
	if !ok {
		r.wallet.SetWaiting(s.now, id, max(amount, shortfall))
		return
	}
	r.wallet.SetWaiting(s.now, id, 0)
	ready, err := r.wallet.ConfirmedSince(reservation, r.sessions[a.incarnation])
	s.check(err)
	if !ready && !s.bugs.skipConfirmation {
		s.check(r.wallet.Release(s.now, reservation))
		r.wallet.RequestExchange(r.wallet.AccountOf(id))
		return
	}
	req := &request{id: s.uuid(), attempt: s.uuid(), budget: id, reservation: reservation, router: r, agent: a, agentIncarnation: a.incarnation}
	s.requests = append(s.requests, req)
	r.openRequests = append(r.openRequests, req)
	admission := Admission{Request: req.id, Attempt: req.attempt, Router: r.incarnation, AgentBoot: a.incarnation.Boot, Budget: id,
		Lot: reservation.Lot, Slot: reservation.Slot, Reserved: reservation.Amount, AccountEpoch: r.wallet.LotEpoch(reservation)}
	if s.bugs.sendUnconfirmedEpoch {
		admission.AccountEpoch = r.wallet.Epoch(reservation.Lot.Account)
	}
	s.send(r.name, a.name, func() { s.admit(a, admission, req) })
}

func (s *sim) admit(a *simulatedAgent, admission Admission, req *request) {
	_, ended := a.ended[req.attempt]
	if !a.alive || ended || a.incarnation != req.agentIncarnation {
		return
	}
	err := a.ledger.Admit(admission)
	if errors.Is(err, ErrDuplicateAttempt) {
		return
	}
	if err != nil {
		a.ledger.Tombstone(req.attempt) // a duplicate of the message may follow
		s.send(a.name, req.router.name, func() {
			if req.router.alive && errors.Is(err, ErrFenced) {
				req.router.wallet.AbandonLot(req.reservation)
			}
			s.settle(req, nil)
		})
		return
	}
	req.admitted = true
	a.running = append(a.running, req)
}

// finishAttempt ends a running attempt at an agent.
func (s *sim) finishAttempt(a *simulatedAgent, used int) {
	req, ok := chooseFrom(s, a.running)
	if !ok || !a.alive {
		return
	}
	a.running = slices.DeleteFunc(a.running, func(r *request) bool { return r == req })
	if req.estimated != nil {
		used = max(used, int(*req.estimated)) // the router has billed the output that it received
	}
	bill := a.ledger.Finish(req.attempt, Bill{Amount: Tokens(used), Target: "m", UnixMilli: s.now.UnixMilli()})
	a.ended[req.attempt] = bill
	var billed Tokens
	if bill != nil {
		billed = bill.Amount
	}
	req.used = &billed
	s.send(a.name, req.router.name, func() { s.settle(req, bill) })
}

// settle ends a request at its router, without a bill if bill is nil.
func (s *sim) settle(req *request, bill *Bill) {
	r := req.router
	if req.ended || !r.alive || !slices.Contains(r.openRequests, req) {
		return
	}
	req.ended = true
	r.openRequests = slices.DeleteFunc(r.openRequests, func(o *request) bool { return o == req })
	if bill == nil {
		_ = r.wallet.Release(s.now, req.reservation)
		return
	}
	err := r.wallet.Settle(s.now, req.reservation, *bill, req.agent.name)
	if err == nil && bill.Estimated {
		req.estimated = &bill.Amount
	}
	if s.bugs.settleTwice {
		if reservation, _, ok := r.wallet.Reserve(s.now, req.budget, bill.Amount); ok {
			_ = r.wallet.Settle(s.now, reservation, *bill, req.agent.name)
		}
	}
}

// resolveRequests asks agents for the outcome of attempts. The router bills the
// attempts of agents that have restarted and, if billUnreachable is true, of agents
// that it cannot reach.
func (s *sim) resolveRequests(r *simulatedRouter, billUnreachable bool) {
	if !r.alive {
		return
	}
	for _, req := range slices.Clone(r.openRequests) {
		a := req.agent
		bill, ended := a.ended[req.attempt]
		reachable := a.alive && s.linked(r.name, a.name)
		switch {
		case reachable && a.incarnation == req.agentIncarnation && ended:
			s.settle(req, bill)
		case reachable && a.incarnation == req.agentIncarnation && a.ledger.Running(req.attempt):
		case reachable && a.incarnation == req.agentIncarnation:
			a.ledger.Tombstone(req.attempt)
			s.settle(req, nil)
		case reachable || billUnreachable:
			relayed := req.reservation.Amount
			if req.used != nil {
				relayed = *req.used
			} else if !req.admitted {
				relayed = 0
			}
			amount := Tokens(s.choose(int(relayed) + 1))
			s.settle(req, &Bill{Request: req.id, Attempt: req.attempt, Amount: amount, Estimated: true})
		}
	}
}

// exchange starts an exchange of a router with a holder of its account, which may
// have been replaced.
func (s *sim) exchange(r *simulatedRouter) {
	var candidates []*simulatedHolder
	for _, holder := range s.holders {
		if holder.region == r.region {
			candidates = append(candidates, holder)
		}
	}
	holder, ok := chooseFrom(s, candidates)
	if s.choose(2) == 0 || s.quiescing {
		if current := s.currentHolder(r.region); current != nil {
			holder, ok = current, true
		}
	}
	if ok && r.alive {
		s.exchangeWith(r, holder)
	}
}

// exchangeWith starts an exchange of a router with the given holder.
func (s *sim) exchangeWith(r *simulatedRouter, holder *simulatedHolder) {
	account := Account{simulatedShard, r.region}
	if s.choose(4) == 0 && !s.quiescing {
		r.wallet.ObserveEpoch(account, holder.core.Epoch())
	}
	wallet, inc := r.wallet, r.incarnation
	req, ok := wallet.BuildExchange(s.now, account)
	if !ok {
		return
	}
	for _, report := range req.Lots {
		if report.Release && s.bugs.reuseReleasedLimit {
			wallet.lots[report.Lot].limit++
		}
	}
	s.send(r.name, holder.router.name, func() {
		if holder.incarnation != holder.router.incarnation || !holder.router.alive {
			return
		}
		if s.bugs.forgetAcceptedSlots {
			for _, l := range holder.core.lots {
				l.acceptedSlots = nil
			}
		}
		reply := holder.core.Exchange(s.now, req)
		s.send(holder.router.name, r.name, func() {
			if r.alive && r.incarnation == inc {
				if a := wallet.accounts[account]; s.bugs.acceptStaleEpoch && a.epoch > reply.Epoch {
					a.epoch = reply.Epoch
				}
				result := wallet.ApplyReply(s.now, account, reply.Seq, &reply, nil)
				s.ack(r.name, result.Durable, wallet.MarkAgentAcked)
			}
		})
	})
}

// abandonExchange makes a router's exchange in flight fail, although its messages
// may still arrive.
func (s *sim) abandonExchange(r *simulatedRouter) {
	account := Account{simulatedShard, r.region}
	if a := r.wallet.accounts[account]; r.alive && a != nil && a.inFlight != nil {
		r.wallet.ApplyReply(s.now, account, a.inFlight.seq, nil, ErrLotDropped) // any error will do
	}
}

// handOver passes the lot table of a replaced holder to its successor.
func (s *sim) handOver(region string) {
	successor := s.currentHolder(region)
	for _, holder := range s.holders {
		if successor == nil || holder.region != region || holder.core.Epoch()+1 != successor.core.Epoch() || !s.linked(holder.router.name, successor.router.name) {
			continue
		}
		holder.core.ObserveEpoch(successor.core.Epoch())
		if record, err := holder.core.HandOver(); err == nil {
			successor.core.ApplyHandOver(record)
		}
	}
}

func (s *sim) sendAcks(r *simulatedRouter) {
	if !r.alive {
		return
	}
	s.ack(r.name, r.wallet.PendingAcks(), r.wallet.MarkAgentAcked)
}

// recover advances the fences and the reconciliation of a holder. If wrongly is
// true, it may declare a live router dead.
func (s *sim) recover(holder *simulatedHolder, wrongly bool) {
	for _, r := range holder.core.Routers() {
		dead := !slices.ContainsFunc(s.routers, func(o *simulatedRouter) bool { return o.incarnation == r && o.alive })
		if dead || wrongly && s.choose(4) == 0 {
			holder.core.BeginFence(r)
		}
	}
	account := Account{simulatedShard, holder.region}
	if holder.core.Reconciling() {
		for _, r := range s.routers {
			inc := r.incarnation
			if r.region != holder.region {
				continue
			}
			s.send(holder.router.name, r.name, func() {
				if !r.alive || r.incarnation != inc {
					return
				}
				if lots, _, ok := r.wallet.ReportLots(s.now, account, holder.core.Epoch()); ok {
					s.send(r.name, holder.router.name, func() { holder.core.ApplyRouterLots(s.now, inc, lots) })
				}
			})
		}
	}
	orders := holder.core.Fences()
	if !holder.core.Reconciling() && len(orders) == 0 {
		return
	}
	if len(orders) == 0 {
		orders = []FenceOrder{{}}
	}
	for _, order := range orders {
		for _, a := range s.agents {
			if a.region == holder.region {
				s.collect(holder, a, order)
			}
		}
	}
	s.finishRecovery(holder)
}

// collect collects from one agent. order is zero if no router is to be fenced.
func (s *sim) collect(holder *simulatedHolder, a *simulatedAgent, order FenceOrder) {
	account := Account{simulatedShard, holder.region}
	inc := a.incarnation
	s.send(holder.router.name, a.name, func() {
		if !a.alive || a.incarnation != inc {
			return
		}
		if order.Router.Name != "" && !s.bugs.ignoreFences {
			a.ledger.Fence(account, order.Router, order.Before)
		}
		if !s.bugs.ignoreAccountEpochs {
			a.ledger.RaiseEpoch(account, holder.core.Epoch())
		}
		c := CollectResult{Agent: inc, AccountEpoch: a.ledger.Epoch(account), FencedBefore: order.Before}
		if s.bugs.ignoreAccountEpochs {
			c.AccountEpoch = holder.core.Epoch()
		}
		c.Bills, c.RouterBoots, c.Running = a.ledger.Collect(account)
		if order.Router.Name != "" {
			c.FencedRouter = &order.Router
		}
		s.send(a.name, holder.router.name, func() {
			if holder.incarnation == holder.router.incarnation && holder.router.alive {
				s.ack(holder.router.name, holder.core.ApplyCollectResult(s.now, c), nil)
			}
		})
	})
}

// finishRecovery ends the fences and the reconciliation that can be ended.
func (s *sim) finishRecovery(holder *simulatedHolder) {
	var current []Incarnation
	var lost []LostAgent
	for _, a := range s.agents {
		if a.region == holder.region && (a.alive || !slices.ContainsFunc(s.lostAgents, func(d LostAgent) bool { return d.Agent == a.incarnation })) {
			current = append(current, a.incarnation)
		}
	}
	for _, d := range s.lostAgents {
		if d.Agent.Name[:4] == holder.region && !s.bugs.ignoreLostAgents {
			lost = append(lost, d)
		}
	}
	for _, order := range holder.core.Fences() {
		if err := holder.core.FinishFence(s.now, order.Router, current, lost); err == nil && s.bugs.grantBeforeFlush {
			s.grantBeforeFlush(holder)
		}
	}
	if holder.core.Reconciling() && holder.core.FinishReconcile(s.now, current, lost, false) == nil && s.bugs.grantBeforeFlush {
		s.grantBeforeFlush(holder)
	}
}

func (s *sim) grantBeforeFlush(holder *simulatedHolder) {
	for _, b := range holder.core.budgets {
		b.awaitingFlush = 0
	}
}

// requestReturns requests returns from the other region for unmet requests.
func (s *sim) requestReturns(holder *simulatedHolder) {
	for _, u := range holder.core.UnmetRequests(s.now) {
		for _, region := range u.Regions {
			other := s.currentHolder(region)
			if other == nil || !s.linked(holder.router.name, other.router.name) {
				holder.core.HandleReturnReply(s.now, u.Budget, region, false, 0)
				continue
			}
			returned := other.core.HandleReturnRequest(s.now, u.Budget, u.Amount)
			holder.core.HandleReturnReply(s.now, u.Budget, region, true, returned)
		}
	}
}
