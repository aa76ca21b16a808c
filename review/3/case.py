"""Connections of a gateway to its replicas are reset while resumable streams end. See claim.txt."""

import asyncio
import os
import pathlib
import random
import sys
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import client
import fleet
import proxy

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REPLICAS = 12
WARM_UP_S = 3.0
ROUNDS = 20
ROUND_GAP_S = 3.0
# reset_conns: share 0.1 of the machines, which is one of this deployment, has 0.5 reset.
RESET_SHARE = 0.5
STREAMS_PER_S = 50
TOKENS = 13


class Case:
    def __init__(self):
        self.record = fleet.Record(HERE)
        self.fleet = fleet.Fleet(self.record)
        self.random = random.Random(2)
        self.runs = {}
        self.answers = []
        self.proxies = []

    def on_report(self, line):
        if "sent" in line:
            self.runs.setdefault(line["run"], []).append((line["at"], line["sent"]))
        else:
            self.record.write(f"replica {line}")

    async def start_replicas(self):
        port = self.fleet.front_port
        for number in range(REPLICAS):
            options = {"kind": "engine", "step_ms": 50, "prefill_ms": 60}
            advertised = f"{self.fleet.subnet}.{200 + number}:{port + 1}"
            zone = fleet.ZONES[number % 3]
            process, address = self.fleet.start_replica(
                f"replica-{number}", "lm-pool", zone, options, advertised=advertised
            )
            fleet.read_reports(process, self.on_report)
            carrier = proxy.Proxy(advertised, address)
            await carrier.start()
            self.proxies.append(carrier)

    async def one_stream(self):
        part = self.random.randrange(4)
        own = self.random.randrange(1 << 32)
        fields = {
            "Topazmount-Model": "m0",
            "Topazmount-Token-Counts": f"2890,{TOKENS}",
            "Topazmount-Prompt-Prefix": f"5c1e07a{part}:2520,{own:08x}:370",
        }
        ip = self.random.choice(self.fleet.gateway_ips)
        address = (ip, self.fleet.front_port)
        answer = await client.request(address, "POST", "/review/full", fields, b"x" * 1800, 6000)
        self.answers.append(answer)
        self.record.write(
            f"answer {answer.request} from={ip} status={answer.status} "
            f"complete={answer.is_complete} events={len(client.events(answer.body))} "
            f"error={answer.error} problem={answer.problem}"
        )

    async def load(self, until):
        streams = []
        while asyncio.get_running_loop().time() < until:
            streams.append(asyncio.ensure_future(self.one_stream()))
            await asyncio.sleep(self.random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*streams)

    async def reset(self):
        await asyncio.sleep(WARM_UP_S)
        for turn in range(ROUNDS):
            ip = self.fleet.gateway_ips[turn % len(self.fleet.gateway_ips)]
            count, found = proxy.reset_share(self.proxies, ip, RESET_SHARE, self.random)
            self.record.write(f"disruption: {count} of {found} connections of {ip} are reset")
            await asyncio.sleep(ROUND_GAP_S)

    def configure(self):
        routes = [
            fleet.route("review", "/review/", "streaming", "lm-pool", 6000, 800, 2, resumable=True)
        ]
        services = [fleet.engine_service("lm-pool")]
        self.fleet.operate(
            "POST", "/topazmount/Config.Put", fleet.configuration(1, routes, services)
        )

    async def run(self):
        self.fleet.start()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.configure)
        await self.start_replicas()
        await loop.run_in_executor(None, self.fleet.wait_until_ready)
        await loop.run_in_executor(None, self.fleet.wait_for_replicas, REPLICAS)
        until = loop.time() + WARM_UP_S + ROUNDS * ROUND_GAP_S
        tasks = [self.load(until)]
        if TROUBLE:
            tasks.append(self.reset())
        await asyncio.gather(*tasks)
        return self.judge()

    def judge(self):
        """No client receives bytes that are no answer in the protocol."""
        complete = [answer for answer in self.answers if answer.is_complete]
        broken = [answer for answer in self.answers if answer.problem]
        for answer in broken:
            runs = self.runs.get(answer.request, [])
            self.record.write(f"BROKEN: {answer.request}: {answer.problem}; sent {runs}")
        cut = sum(1 for answer in self.answers if answer.error)
        text = (
            f"streams={len(self.answers)} complete={len(complete)} cut={cut} "
            f"no_answer_in_the_protocol={len(broken)}"
        )
        self.record.write(text)
        print(text)
        if len(complete) < 100:
            raise fleet.CannotRun("too few streams were served")
        return 1 if broken else 0


def main():
    case = Case()
    try:
        return asyncio.run(case.run())
    except fleet.CannotRun as problem:
        case.record.write(f"cannot run: {problem}")
        print(f"cannot run: {problem}")
        return 2
    except Exception:
        # A fault of this script says nothing of the rule.
        case.record.write(traceback.format_exc())
        traceback.print_exc()
        return 2
    finally:
        case.fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
