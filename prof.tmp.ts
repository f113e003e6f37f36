import { Agent } from 'node:http';
import { startPlatform, documentOf } from './__tests__/support/platform.js';
const main = async () => {
  const p = await startPlatform({ dataCentres: [ { name: 'a', services: ['alpha','beta'] }, { name: 'b', services: ['alpha','alpha'] }, { name: 'c', services: ['beta'] } ], nodeArgs: ['--cpu-prof','--cpu-prof-dir=/tmp/prof'], endpoint: { slots: 30, checkInMs: 1500 } });
  const idle = Array.from({length:300},(_, i)=>({ name:`r-i${i}`, prefix:`/i${i}/`, service: i%2?'alpha':'beta', host:`h${i%7}.example`}));
  const routes=[{ name:'r-look', prefix:'/look/', service:'alpha'},{name:'r-place',prefix:'/place/',service:'alpha',kind:'unsafe' as const}, ...idle];
  await p.accept(documentOf(1,0,routes)); await p.allReady();
  const agent = new Agent({ keepAlive: true });
  const seconds = Number(process.argv[2] ?? 10);
  let n=0; const t0=Date.now(); let bad=0;
  await new Promise<void>((res)=>{ const h=setInterval(()=>{ if(Date.now()-t0>seconds*1000){clearInterval(h);res();return;}
    for (const m of p.nodes){ n+=1; p.call(m,{path:'/look/x',host:'mesh.example',id:`c${n}`,agent}).then(a=>{ if(a.status!==200) bad+=1; },()=>{bad+=1;}); } }, 25); });
  console.log('calls', n, 'bad', bad);
  await Promise.all(p.nodes.map(m=>m.process.end('SIGTERM')));
  await p.stop(); process.exit(0);
};
main();
