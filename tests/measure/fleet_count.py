#!/usr/bin/env python3
"""Counts over all routers of a fleet, by second, from their logs (serve --log-level debug).

usage: fleet_count.py DIR [REPLICAS]
DIR holds a file a router; each line begins with the second it was written at, then the log line.
REPLICAS: also print the so many replicas with the most failed attempts.
"""
import collections
import glob
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')


def main():
    folder, replicas = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 0
    seconds = collections.defaultdict(collections.Counter)
    by_replica = collections.defaultdict(collections.Counter)
    waits = collections.defaultdict(list)
    for path in glob.glob(folder + '/*.log'):
        for line in open(path, errors='replace'):
            head, _, rest = line.partition(' ')
            try:
                second = int(float(head))
            except ValueError:
                continue
            f = dict(FIELD.findall(rest))
            row, event = seconds[second], f.get('event')
            if event in ('request_received', 'client_disconnected', 'drain_started', 'stopped'):
                row[event] += 1
            elif event == 'attempt_started':
                row['call'] += 1
                row['again'] += f['attempt'] != '0'
                by_replica[f['replica']]['call'] += 1
            elif event == 'attempt_ended':
                row[f['outcome']] += 1
                by_replica[f['replica']][f['outcome']] += 1
            elif event == 'first_event':
                waits[second].append(int(f['took_us']) / 1e3)
                by_replica[f['replica']]['first_ms'] += int(f['took_us']) / 1e3
                by_replica[f['replica']]['first'] += 1
            elif event == 'request_rejected':
                row['refused'] += 1
                row['at_once'] += int(f['took_us']) < 1000
            elif event == 'request_failed':
                row['failed'] += 1
            elif event == 'endpoint_list_update':
                row['list_' + f['kind']] += 1
                row['list_lines'] += int(f['entries'])
    names = ['request_received', 'client_disconnected', 'drain_started', 'stopped', 'call', 'again', 'ok', 'error', 'full', 'timeout',
             'connect_failed', 'reset', 'cancelled', 'refused', 'at_once', 'failed', 'list_whole', 'list_changes', 'list_failed', 'list_lines']
    print('  s ' + ' '.join('%9s' % n[-9:] for n in names) + '   first event p50, p90 ms')
    for second in sorted(seconds):
        w = sorted(waits[second]) or [0]
        print('%3d ' % second + ' '.join('%9d' % seconds[second][n] for n in names) +
              '   %6.0f %6.0f' % (w[len(w) // 2], w[len(w) * 9 // 10]))
    bad = sorted(by_replica.items(), key=lambda e: e[1]['ok'] - e[1]['call'])
    for name, c in bad[:replicas]:
        mean = c['first_ms'] / c['first'] if c['first'] else 0
        print(name, dict((k, v) for k, v in c.items() if 'first' not in k), 'first event %.0f ms' % mean)


main()
